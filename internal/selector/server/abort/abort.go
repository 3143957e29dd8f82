// Package abort runs HTTP servers that, when they stop, end the requests still
// in flight with error responses, and count those that they cut.
//
// It owns the context that every request's derives from, and the count. It
// relies on httpserver for the connections, and on the handlers to begin each
// response by WriteHeader and to end when their request's context does: they
// ask Aborted why it ended, and call Cut when they give a request up for it.
package abort

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/httpserver"
)

// grace is how long the error responses of aborted requests may take: a
// handler needs some milliseconds to notice, and a connection between
// requests is read for 50 ms after the drain began (package httpserver).
const grace = 250 * time.Millisecond

// errStopping is the cause of the end of an aborted request's context.
var errStopping = eris.New("the host is stopping")

// Server is an httpserver.Server whose requests can be aborted.
type Server struct {
	*httpserver.Server
	abort context.CancelCauseFunc
	// leaving is set when clients are to leave their connections.
	leaving atomic.Bool

	mu sync.Mutex
	// running is how many requests have a handler at work, and cut how many
	// ended without the response that they would have had.
	running int64
	cut     int64
}

// New makes a server that does not listen yet. The hook BaseContext of the
// http.Server is the package's.
func New(o httpserver.Options) *Server {
	base, abort := context.WithCancelCause(context.Background())
	s := &Server{abort: abort}
	o.HTTP.BaseContext = func(net.Listener) context.Context { return base }
	o.HTTP.Handler = s.count(o.HTTP.Handler)
	s.Server = httpserver.New(o)
	return s
}

// Aborted reports whether a request's context ended since the host stops, and
// not since its client left or its time was over.
func Aborted(ctx context.Context) bool { return context.Cause(ctx) == errStopping }

// Cut notes that the request of a response is given up since the host stops.
func Cut(w http.ResponseWriter) {
	for {
		switch v := w.(type) {
		case *response:
			v.cut = true
			return
		case interface{ Unwrap() http.ResponseWriter }:
			w = v.Unwrap()
		default: // not of this package's servers
			return
		}
	}
}

// EndReads has reads of a request's body fail with os.ErrDeadlineExceeded once
// the request is aborted. The returned function ends that, and reports whether
// it was in time.
func EndReads(w http.ResponseWriter, r *http.Request) (stop func() bool) {
	control := http.NewResponseController(w)
	return context.AfterFunc(r.Context(), func() {
		// It fails only on a closed connection, which the read notices.
		_ = control.SetReadDeadline(time.Now())
	})
}

// count counts requests from the start to the end of their handler. One whose
// response breaks off ends by a panic.
func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, broken := &response{ResponseWriter: w, server: s}, true
		s.begin()
		defer func() { s.end(resp.cut || broken && Aborted(r.Context())) }()
		next.ServeHTTP(resp, r)
		broken = false
	})
}

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

func (s *Server) end(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if cut {
		s.cut++
	}
}

// response tells its client to leave the connection, by what is so when it is
// sent: its request may have begun long before. Otherwise the client would send
// its next request to a connection that is being closed.
type response struct {
	http.ResponseWriter
	server *Server
	// cut is set when the handler gave the request up since the host stops.
	cut bool
}

// WriteHeader begins the response.
func (r *response) WriteHeader(status int) {
	if r.server.leaving.Load() {
		r.Header().Set("Connection", "close")
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// CloseAfterResponses has each response, also those to requests in flight,
// tell its client to leave the connection. New requests are still served.
func (s *Server) CloseAfterResponses() { s.leaving.Store(true) }

// Stop takes no new connections and waits until all requests have their
// responses, or the context ends. Then it aborts those in flight, gives their
// error responses a little time and closes all connections. It returns how
// many requests were cut: given up since the host stops, aborted, or still without an
// end when it closed them.
func (s *Server) Stop(ctx context.Context) int64 {
	s.CloseAfterResponses()
	if s.Drain(ctx) == nil {
		return s.cutOff()
	}
	s.abort(errStopping)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	_ = s.Drain(ctx) // Close ends what has not taken its response
	cut := s.cutOff()
	s.Close()
	return cut
}

// cutOff counts the requests that are cut if all connections close now.
func (s *Server) cutOff() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut + s.running
}
