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

// Options configures a Server. Only HTTP is required.
type Options struct {
	// HTTP is the server to run. The package sets its ConnState and ConnContext
	// hooks and enforces the timeouts of headers and idle connections itself.
	HTTP *http.Server
	// Limits returns the limits in force, which may change. A longer limit also
	// applies to connections that already wait, and a shorter limit applies to
	// a connection from its next request on. Without Limits, the defaults
	// apply.
	Limits func() Limits
	// RequestCut is called for each request that was read but whose connection
	// the host closed before the response was complete. Only Close causes this.
	RequestCut func()
	// Budget bounds the connections and their memory together with those of other servers.
	// Without it there is no bound.
	Budget *Budget
	// MaxConns is the maximum number of connections of this server; zero is no maximum.
	MaxConns int
	// RefusalHeader is added to responses to requests whose header is refused before it is
	// complete. These requests have not run.
	RefusalHeader map[string]string
	// Refused is called with the client's address for each such request.
	Refused func(client net.Addr, reason Refusal)
	// Evicted is called with the client's address for each connection that is closed because
	// others need its resources.
	Evicted func(client net.Addr)
	// AcceptStateChanged is called with the error when connections cannot be
	// accepted for lack of a resource, and with nil when they can be accepted
	// again.
	AcceptStateChanged func(err error)
}

// Server runs an http.Server. Its methods are safe for concurrent use.
type Server struct {
	http   *http.Server
	limits func() Limits
	cut    func()
	// acceptStateChanged is Options.AcceptStateChanged. inShortage is set while
	// connections cannot be accepted for lack of a resource.
	acceptStateChanged func(error)
	inShortage         atomic.Bool

	budget   *Budget
	maxConns int
	// members are the connections that the budget accounts for; its lock guards them.
	members       map[*conn]struct{}
	refusalHeader map[string]string
	refused       func(net.Addr, Refusal)
	evicted       func(net.Addr)
	// lastShortageAt is when an accept last failed for lack of a resource.
	lastShortageAt atomic.Pointer[time.Time]
	// drainAt is when Drain was first called, or nil if it was not called.
	drainAt atomic.Pointer[time.Time]

	mu        sync.Mutex
	listeners []net.Listener
	// listening is set until a drain has closed the listeners. acceptLoops is the
	// number of listeners whose accept loop still runs.
	listening   bool
	acceptLoops int
	conns       map[*conn]struct{}
	// drained is closed when the server drains and has no connections left.
	drained chan struct{}
}

// New returns a server that does not listen yet.
func New(o Options) *Server {
	s := &Server{
		http: o.HTTP, limits: o.Limits, cut: o.RequestCut, acceptStateChanged: o.AcceptStateChanged,
		budget: o.Budget, maxConns: o.MaxConns, refusalHeader: o.RefusalHeader, refused: o.Refused, evicted: o.Evicted,
		listening: true, conns: map[*conn]struct{}{}, members: map[*conn]struct{}{}, drained: make(chan struct{}),
	}
	if s.budget == nil {
		s.budget = NewBudget(0, 0)
	}
	if s.refused == nil {
		s.refused = func(net.Addr, Refusal) {}
	}
	if s.limits == nil {
		s.limits = func() Limits { return Limits{} }
	}
	if s.cut == nil {
		s.cut = func() {}
	}
	if s.acceptStateChanged == nil {
		s.acceptStateChanged = func(error) {}
	}
	if s.evicted == nil {
		s.evicted = func(net.Addr) {}
	}
	s.http.Handler = s.closeWhenDraining(abandonBodies(s.http.Handler))
	s.http.ConnState = s.connStateChanged
	s.http.ConnContext = withConn
	return s
}

// closeWhenDraining asks clients of a draining server to close their connection
// after the response, and clients whose connection others need.
func (s *Server) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if draining, _ := s.drainBegan(); draining || ok && c.isEvicted() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Serve accepts connections from l, over TLS if config is not nil, until Drain
// or Close is called, and then returns nil. Any other error is that of the
// listener.
func (s *Server) Serve(l net.Listener, config *tls.Config) error {
	if !s.addListener(l) {
		return l.Close()
	}
	defer s.doneServing()
	l = listener{l, s, config != nil}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	err := s.http.Serve(l)
	if draining, _ := s.drainBegan(); draining || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// addListener registers a listener and reports whether the server still accepts
// connections.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listening {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.acceptLoops++
	return true
}

func (s *Server) doneServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptLoops--
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

// noteDrained closes s.drained if the server has no listeners and connections
// left; s.mu is held. While an accept loop runs, it may accept a connection
// that is not in conns yet, even if its listener is closed.
func (s *Server) noteDrained() {
	if s.listening || s.acceptLoops > 0 || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.drained: // already closed
	default:
		close(s.drained)
	}
}

// Drain stops accepting connections, ends those that are between requests, and
// waits until the others have got their responses and ended. It returns the
// error of the context if the context ends first. It may be called again.
func (s *Server) Drain(ctx context.Context) error {
	now := time.Now()
	if s.drainAt.CompareAndSwap(nil, &now) {
		s.applyReadDeadlines()
		s.closeListeners(ctx)
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyReadDeadlines updates the read deadlines of open connections, for
// example when the server begins to drain. A connection accepted later gets the
// new deadline with its first read.
func (s *Server) applyReadDeadlines() {
	s.mu.Lock()
	conns := s.openConns()
	s.mu.Unlock()
	for _, c := range conns {
		// An error means that the connection is closed.
		_ = c.setReadDeadline()
	}
}

// closeListeners closes the listeners after drainIdleGrace, during which
// connections that the kernel has already established are accepted. Closing a
// listener earlier would reset these connections and the requests sent on them.
func (s *Server) closeListeners(ctx context.Context) {
	pause.For(ctx, drainIdleGrace)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close() // an error means that it is closed already
	}
	s.listening = false
	s.noteDrained()
}

// openConns returns the open connections; s.mu is held.
func (s *Server) openConns() []*conn {
	return slices.Collect(maps.Keys(s.conns))
}

// Close immediately closes the listeners and all connections and aborts the
// requests in flight.
func (s *Server) Close() {
	s.mu.Lock()
	conns := s.openConns()
	s.mu.Unlock()
	for _, c := range conns {
		if c.isServing() {
			s.cut()
		}
		c.skipLinger()
	}
	_ = s.http.Close() // an error means that a connection was already closed
}
