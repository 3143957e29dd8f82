// Package server joins the parts of one entry host of `cairndock serve`: it
// checks the settings of all sections, makes the host with its clients of the
// platform, and runs it with the listeners for clients (package caller) and for
// operators (package operator).
package server

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cairndock/internal/selector/caller"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/operator"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/store"
	"cairndock/internal/selector/tlsfiles"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
)

// Prepare applies the defaults of all sections. Its error joins every fault.
func Prepare(s *servesettings.Settings) error {
	entry.Prepare(s)
	caller.Default(&s.Callers)
	telemetry.Default(&s.Telemetry)
	var f settings.Faults
	entry.Check(*s, &f)
	caller.Check(s.Callers, &f)
	operator.Check(s.Operators, &f)
	store.Check(s.Platform, &f)
	telemetry.Check(s.Telemetry, &f)
	tlsfiles.Check("peers.tls", s.Peers.TLS, &f)
	return errors.Join(f...)
}

// Server is a running entry host.
type Server struct {
	host      *entry.Host
	callers   *caller.Server
	operators *operator.Server

	callerAddr   string
	operatorAddr string
	failed       chan error
}

// Listeners makes the host's own listeners.
type Listeners interface {
	Listen(addr string) (net.Listener, error)
}

// Remote returns the options of a host that uses the platform of the settings,
// and mutual TLS between hosts if they have it.
func Remote(s servesettings.Settings, log zerolog.Logger, tp *sdktrace.TracerProvider) (entry.Options, error) {
	o := entry.Options{
		Settings: s, Log: log, Traces: tp, Transport: entry.TCP{},
		Table: store.NewTable(s.Platform), Objects: store.NewObjects(s.Platform),
		Hosts: store.NewHostList(s.Platform), Seed: uint64(time.Now().UnixNano()),
	}
	if s.Peers.TLS.Enabled() {
		files, err := tlsfiles.Open(s.Peers.TLS)
		if err != nil {
			return o, err
		}
		o.Transport = tlsfiles.Transport{Files: files}
	}
	return o, nil
}

// Start starts a host and its listeners. The host serves until Stop or Close; ctx
// ends its background work too.
func Start(ctx context.Context, o entry.Options, ls Listeners) (*Server, error) {
	h := entry.New(o)
	s := &Server{host: h, failed: make(chan error, 2)} // one for each listener
	callers, err := ls.Listen(o.Settings.Callers.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	operators, err := ls.Listen(o.Settings.Operators.Listen)
	if err != nil {
		_ = callers.Close()
		return nil, eris.Wrap(err, "listen for operators")
	}
	s.callerAddr, s.operatorAddr = callers.Addr().String(), operators.Addr().String()
	s.callers = caller.New(o.Settings.Callers, h, o.Traces, h.Metrics())
	s.operators = operator.New(o.Settings.Operators, h, o.Log, h.Metrics())
	if err := h.Start(ctx, s.callerAddr); err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return nil, err
	}
	go func() { s.failed <- s.callers.Serve(callers) }()
	go func() { s.failed <- s.operators.Serve(operators) }()
	return s, nil
}

// Host is the host that the server runs.
func (s *Server) Host() *entry.Host { return s.host }

// CallerAddr is the address at which clients are served.
func (s *Server) CallerAddr() string { return s.callerAddr }

// OperatorAddr is the address at which operators are served.
func (s *Server) OperatorAddr() string { return s.operatorAddr }

// Failed receives the error that ended a listener, or nil after Close.
func (s *Server) Failed() <-chan error { return s.failed }

// closeTimeout limits the last wait for clients' connections, when the host has
// already waited for its requests in flight. Chosen, not measured.
const closeTimeout = time.Second

// Stop takes the host out of service as the settings' section [stop] says, and
// closes it. ctx ends the wait early.
func (s *Server) Stop(ctx context.Context) entry.StopReport {
	report := s.host.Stop(ctx)
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	// Its error is the timeout; Close ends what is left.
	_ = s.callers.Shutdown(closeCtx)
	s.Close()
	return report
}

// Close ends the server at once, as a crash would: requests in flight are cut.
func (s *Server) Close() {
	_ = s.callers.Close()
	_ = s.operators.Close()
	s.host.Close()
}
