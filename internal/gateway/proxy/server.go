package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/pause"
)

const (
	// maxHeader bounds a request's header that is read at all, in bytes.
	maxHeader = 64 << 10
	// exitMargin is the time kept between the last answer and the kill, and
	// lastWords the part of it in which callers are told what was given up.
	exitMargin = 400 * time.Millisecond
	abortGrace = 150 * time.Millisecond
	// exitPoll is how often a stopping host looks whether all is answered.
	exitPoll = 20 * time.Millisecond
)

// Server is a gateway's listeners.
type Server struct {
	proxy   *Proxy
	clients *http.Server
	others  []*http.Server
	failed  chan error
	// address is where callers are taken.
	address string
}

// CallerAddress is where callers are taken, once they are.
func (s *Server) ClientAddress() string { return s.address }

// NewServer makes a server without listeners.
func NewServer(g *Proxy) *Server {
	return &Server{
		proxy: g,
		// How long connections may rest, and headers take, is up to
		// callerListener.
		clients: &http.Server{Handler: g, MaxHeaderBytes: maxHeader, ConnState: noteState},
		failed:  make(chan error, 8),
	}
}

// Callers takes callers at an address.
func (s *Server) ListenClients(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	s.address = l.Addr().String()
	s.serve(s.clients, clientListener{l, s.proxy.State.Limits})
	return nil
}

// Also serves something else at an address.
func (s *Server) Listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	s.others = append(s.others, server)
	s.serve(server, l)
	return nil
}

func (s *Server) serve(server *http.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
	}()
}

// Failed gives the error that ended a listener.
func (s *Server) Failed() <-chan error { return s.failed }

// Stop takes the host out of service: it asks callers to go elsewhere, takes
// those that still come for a part of the grace, and then finishes what is
// being served. It gives the number of requests it had to give up.
func (s *Server) Stop(ctx context.Context, grace time.Duration) int64 {
	began := time.Now()
	s.proxy.Drain()
	pause.For(ctx, drainTime(grace))
	ctx, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	// Closes the listener and the connections that rest, and waits.
	_ = s.clients.Shutdown(ctx)
	s.waitIdle(ctx)
	cut := s.proxy.InFlight()
	if cut > 0 {
		s.proxy.Abort()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortGrace)
		defer cancel()
		s.waitIdle(last)
	}
	return cut
}

// waitIdle waits until nothing is being served.
func (s *Server) waitIdle(ctx context.Context) {
	for s.proxy.InFlight() > 0 && ctx.Err() == nil {
		pause.For(ctx, exitPoll)
	}
}

// acceptPart is the part of the grace in which a leaving host still takes
// callers: they keep what the directory told them for a while.
const drainPart = 0.45

func drainTime(grace time.Duration) time.Duration {
	return time.Duration(drainPart * float64(grace))
}

// Close ends all listeners at once.
func (s *Server) Close() {
	_ = s.clients.Close()
	for _, other := range s.others {
		_ = other.Close()
	}
}
