// Package server joins the parts of one entry host of `cairndock serve`: it
// checks the settings of all sections, makes the host with its clients of the
// platform, and runs it with the listeners for clients (package caller) and for
// operators (package operator), up to their planned stop.
package server

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cairndock/internal/peer"
	"cairndock/internal/selector/caller"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/operator"
	"cairndock/internal/selector/server/abort"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/store"
	"cairndock/internal/selector/tlsfiles"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
)

// Prepare applies the defaults of all sections and checks them. Its error joins
// every fault.
func Prepare(s *servesettings.Settings) error {
	entry.Default(s)
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
	// Host is the host that the server runs.
	Host *entry.Host
	// CallerAddr and OperatorAddr are where clients and operators are served.
	CallerAddr   string
	OperatorAddr string

	callers   *abort.Server
	operators *abort.Server
	failed    chan error
}

// HostOptions returns the options of a host that uses the platform of the
// settings, and mutual TLS between hosts if they have it.
func HostOptions(s servesettings.Settings, log zerolog.Logger, tp *sdktrace.TracerProvider) (entry.Options, error) {
	o := entry.Options{
		Settings: s, Log: log, Traces: tp, Transport: peer.TCP((&net.Dialer{}).DialContext),
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
func Start(ctx context.Context, o entry.Options) (*Server, error) {
	s := &Server{failed: make(chan error, 2)} // one for each listener
	o.StopClients = func(ctx context.Context) int64 { return s.callers.Stop(ctx) }
	h := entry.New(o)
	callers, err := net.Listen("tcp", o.Settings.Callers.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	operators, err := net.Listen("tcp", o.Settings.Operators.Listen)
	if err != nil {
		_ = callers.Close()
		return nil, eris.Wrap(err, "listen for operators")
	}
	s.Host, s.CallerAddr, s.OperatorAddr = h, callers.Addr().String(), operators.Addr().String()
	s.callers = caller.New(o.Settings.Callers, h, o.Traces, h.Metrics())
	s.operators = operator.New(o.Settings.Operators, h, o.Log, h.Metrics())
	if err := h.Start(ctx, s.CallerAddr); err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return nil, err
	}
	go func() { s.failed <- serve(s.callers, callers, servesettings.TLS{}) }()
	go func() { s.failed <- serve(s.operators, operators, o.Settings.Operators.TLS) }()
	return s, nil
}

// serve serves a listener until the server is stopped or closed, and then
// returns nil; over mutual TLS if there are files for it.
func serve(srv *abort.Server, l net.Listener, files servesettings.TLS) error {
	if !files.Enabled() {
		return srv.Serve(l, nil)
	}
	f, err := tlsfiles.Open(files)
	if err != nil {
		return err
	}
	return srv.Serve(l, f.Server())
}

// Failed receives the error that ended a listener, or nil after Stop or Close.
func (s *Server) Failed() <-chan error { return s.failed }

// closeTimeout limits the wait for operators' requests, at the end of a stop.
// Those that wait longer for a change to be in force are aborted.
const closeTimeout = time.Second

// Stop takes the host out of service as the settings' section [stop] says, and
// closes it. Operators are served to the end, as their requests show how the
// stop goes. ctx ends the wait early.
func (s *Server) Stop(ctx context.Context) entry.StopReport {
	s.callers.CloseAfterResponses()
	report := s.Host.Stop(ctx)
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	report.Cut += s.operators.Stop(closeCtx)
	s.Close()
	return report
}

// Close ends the server at once, as a crash would: requests in flight are cut.
func (s *Server) Close() {
	s.callers.Close()
	s.operators.Close()
	s.Host.Close()
}
