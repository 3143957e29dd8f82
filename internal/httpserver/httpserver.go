package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/pause"
)

// Options are the parts of a Server. Only HTTP is required.
type Options struct {
	// HTTP is the server to run. Its hooks ConnState and ConnContext, and its
	// time-outs of headers and idle connections, are the package's.
	HTTP *http.Server
	// Limits gives the limits in force, which may change: longer ones hold also for
	// connections that wait already, shorter ones from their next request on.
	// Without it the defaults hold.
	Limits func() Limits
	// Cut is told of each request that was read and whose connection the host
	// closed all the same. It is called for none but those that Close breaks off.
	Cut func()
	// Accepting is told when connections can't be accepted, with the error, and
	// when they can again, with nil.
	Accepting func(err error)
}

// Server runs an http.Server. Its methods may be called concurrently.
type Server struct {
	http   *http.Server
	limits func() Limits
	cut    func()
	// accepting is Options.Accepting, and starved is set while connections can't
	// be accepted.
	accepting func(error)
	starved   atomic.Bool
	// shortAt is when an accept last failed for want of a resource.
	shortAt atomic.Pointer[time.Time]
	// drainAt is when Drain was first called; nil before.
	drainAt atomic.Pointer[time.Time]

	mu        sync.Mutex
	listeners []net.Listener
	// listening is set until a drain has closed the listeners, and serving is
	// how many of them are still accepted from.
	listening bool
	serving   int
	conns     map[*conn]struct{}
	// drained is closed when the server drains and has no connection.
	drained chan struct{}
}

// New makes a server that does not listen yet.
func New(o Options) *Server {
	s := &Server{http: o.HTTP, limits: o.Limits, cut: o.Cut, accepting: o.Accepting, listening: true, conns: map[*conn]struct{}{}, drained: make(chan struct{})}
	if s.limits == nil {
		s.limits = func() Limits { return Limits{} }
	}
	if s.cut == nil {
		s.cut = func() {}
	}
	if s.accepting == nil {
		s.accepting = func(error) {}
	}
	s.http.Handler = s.closeWhenDraining(s.http.Handler)
	s.http.ConnState = s.follow
	s.http.ConnContext = withConn
	return s
}

// closeWhenDraining tells clients not to take up their connection again.
func (s *Server) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining, _ := s.drainBegan(); draining {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Serve serves a listener, over TLS if there is a configuration of it, until
// Drain or Close, and then returns nil. Its error is the listener's.
func (s *Server) Serve(l net.Listener, config *tls.Config) error {
	if !s.addListener(l) {
		return l.Close()
	}
	defer s.doneServing()
	l = listener{l, s}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	err := s.http.Serve(l)
	if draining, _ := s.drainBegan(); draining || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// addListener reports whether the server takes connections still.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listening {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.serving++
	return true
}

func (s *Server) doneServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving--
	s.noteDrained()
}

// drainBegan reports whether Drain was called, and when.
func (s *Server) drainBegan() (bool, time.Time) {
	if at := s.drainAt.Load(); at != nil {
		return true, *at
	}
	return false, time.Time{}
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.noteDrained()
}

// noteDrained tells Drain when nothing is left; s.mu is held. While a listener
// is accepted from, a connection may be made that is not in conns yet, closed
// listener or not.
func (s *Server) noteDrained() {
	if s.listening || s.serving > 0 || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.drained: // it knows
	default:
		close(s.drained)
	}
}

// follow is the http.Server's ConnState hook.
func (s *Server) follow(nc net.Conn, state http.ConnState) {
	c := unwrap(nc)
	closed := c.enter(state)
	switch {
	case state == http.StateActive && closed:
		s.cut()
	case state == http.StateHijacked, state == http.StateClosed:
		s.remove(c)
	}
}

// unwrap gives the connection below TLS. All that the http.Server has come from
// listener.
func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return nc.(*conn)
}

// Drain takes no new connections, ends those that are between requests, and
// waits until the others have got their responses and ended too. Its error is
// the context's. It may be called again.
func (s *Server) Drain(ctx context.Context) error {
	now := time.Now()
	if s.drainAt.CompareAndSwap(nil, &now) {
		s.applyEnds()
		s.closeListeners(ctx)
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyEnds puts ends that have changed in force for the connections that wait,
// as when the server drains. One that is accepted after it sees them by itself.
func (s *Server) applyEnds() {
	s.mu.Lock()
	conns := s.open()
	s.mu.Unlock()
	for _, c := range conns {
		// An error means that the connection is closed.
		_ = c.setReadDeadline()
	}
}

// closeListeners closes the listeners after drainIdle, in which connections that
// the kernel has made already are accepted: with the listener it would reset
// them, and the requests that were sent on them.
func (s *Server) closeListeners(ctx context.Context) {
	pause.For(ctx, drainIdle)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close() // an error means that it is closed already
	}
	s.listening = false
	s.noteDrained()
}

// open gives the connections that are open; s.mu is held.
func (s *Server) open() []*conn {
	return slices.Collect(maps.Keys(s.conns))
}

// Close closes the listeners and all connections at once, and breaks off what
// is in flight.
func (s *Server) Close() {
	s.mu.Lock()
	conns := s.open()
	s.mu.Unlock()
	for _, c := range conns {
		if c.isServing() {
			s.cut()
		}
	}
	_ = s.http.Close() // what it could not close is gone already
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn is the http.Server's ConnContext hook.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(nc))
}

// ClosedHere reports whether this end closed the connection of the request with
// a context.
func ClosedHere(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.isClosed()
}
