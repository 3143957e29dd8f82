// Package server assembles one entry host of `cairndock serve`. It validates the
// settings of all sections, creates the host with its clients of the platform,
// and runs the host with the listeners for clients (package caller) and for
// operators (package operator) until the planned stop.
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
	"cairndock/internal/requestbody"
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

// Prepare applies the defaults of all sections and validates them. The returned
// error joins all faults.
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
	s.Resources.Check(&f)
	tlsfiles.Check("peers.tls", s.Peers.TLS, &f)
	return errors.Join(f...)
}

// Server is a running entry host.
type Server struct {
	// Host is the host that the server runs.
	Host *entry.Host
	// CallerAddr and OperatorAddr are the addresses, as "host:port", of the
	// listeners for clients and operators.
	CallerAddr   string
	OperatorAddr string

	callers   *abort.Server
	operators *abort.Server
	failed    chan error
}

// HostOptions returns the options of a host that uses the platform in the
// settings, and mutual TLS between hosts if the settings enable it. It returns
// an error if the TLS files can't be read.
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

// Start starts a host and its listeners. The host serves until Stop or Close is
// called. Its background work also ends when ctx is done.
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
	limits := o.Settings.Resources
	inbound := inboundOptions(limits, o.Log, h.Metrics())
	s.operators = operator.New(o.Settings.Operators, h, o.Log, h.Metrics(), inbound)
	inbound.MaxConns = limits.ClientConns()
	s.callers = caller.New(o.Settings.Callers, h, o.Traces, h.Metrics(), requestbody.NewBuffers(limits.BodiesBytes()), inbound)
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
// returns nil. It uses mutual TLS if files are configured.
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

// Failed returns a channel that receives the error that ended a listener, or nil
// after Stop or Close.
func (s *Server) Failed() <-chan error { return s.failed }

// operatorsTimeout limits how long the end of a stop waits for operator requests.
// Requests that wait longer for a change to take effect are aborted.
const operatorsTimeout = time.Second

// Stop takes the host out of service as configured in the settings section
// [stop], and closes it. Operators are served until the end, because their
// requests show the progress of the stop. If ctx is done, the wait ends early.
func (s *Server) Stop(ctx context.Context) entry.StopReport {
	s.callers.CloseAfterResponses()
	report := s.Host.Stop(ctx)
	closeCtx, cancel := context.WithTimeout(ctx, operatorsTimeout)
	defer cancel()
	report.Cut += s.operators.Stop(closeCtx)
	s.Close()
	return report
}

// Close ends the server at once, like a crash: requests in flight are cut.
func (s *Server) Close() {
	s.callers.Close()
	s.operators.Close()
	s.Host.Close()
}
