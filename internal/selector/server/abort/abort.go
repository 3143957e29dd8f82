// Package abort provides HTTP servers that, on a stop, end the requests still in
// flight with error responses and count the requests that they cut.
//
// The package owns the base context of all requests and the count of cut
// requests. Package httpserver manages the connections. Handlers must begin each
// response with WriteHeader and return when their request's context is done.
// They call Aborted to find out whether a stop ended the context, and Cut if
// they abandon a request because of the stop.
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

// abortGrace is the time for the error responses to aborted requests. A
// handler needs some milliseconds to notice the abort, and a connection
// between requests is read for 50 ms after the start of the drain (package
// httpserver).
const abortGrace = 250 * time.Millisecond

// errStopping is the cancellation cause of the contexts of aborted requests.
var errStopping = eris.New("the host is stopping")

// Server is an httpserver.Server whose requests can be aborted.
type Server struct {
	*httpserver.Server
	abort context.CancelCauseFunc
	// closeAfterResponses is set when responses must close their connections.
	closeAfterResponses atomic.Bool

	mu sync.Mutex
	// running is the number of requests whose handler runs. cut is the number
	// of requests that ended without their regular response because of a stop.
	running int64
	cut     int64
}

// New returns a server that does not listen yet. It sets the BaseContext hook of
// the http.Server and wraps its Handler.
func New(o httpserver.Options) *Server {
	base, abort := context.WithCancelCause(context.Background())
	s := &Server{abort: abort}
	o.HTTP.BaseContext = func(net.Listener) context.Context { return base }
	o.HTTP.Handler = s.count(o.HTTP.Handler)
	s.Server = httpserver.New(o)
	return s
}

// Aborted reports whether a request's context ended because the host stops, and
// not because the client left or the request's deadline passed.
func Aborted(ctx context.Context) bool { return context.Cause(ctx) == errStopping }

// Cut records that the handler of w abandons its request because the host stops.
func Cut(w http.ResponseWriter) {
	for {
		switch v := w.(type) {
		case *response:
			v.cut = true
			return
		case interface{ Unwrap() http.ResponseWriter }:
			w = v.Unwrap()
		default: // the request is not served by this package
			return
		}
	}
}

// EndReads makes reads of a request's body fail with os.ErrDeadlineExceeded when
// the request's context is done. The returned function removes this effect and
// reports whether it was called before the context was done. It must be called
// before the handler returns: w may then belong to another request.
func EndReads(w http.ResponseWriter, r *http.Request) (stop func() bool) {
	control := http.NewResponseController(w)
	ended := make(chan struct{})
	cancel := context.AfterFunc(r.Context(), func() {
		defer close(ended)
		// It fails only on a closed connection, on which the read fails too.
		_ = control.SetReadDeadline(time.Now())
	})
	return sync.OnceValue(func() bool {
		if cancel() {
			return true
		}
		<-ended
		return false
	})
}

// count counts requests from the start to the end of their handler. A handler
// panics to break off its response.
func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, panicked := &response{ResponseWriter: w, server: s}, true
		s.begin()
		defer func() { s.end(resp.cut || panicked && Aborted(r.Context())) }()
		next.ServeHTTP(resp, r)
		panicked = false
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

// response is an http.ResponseWriter. If the server is stopping when the header
// is sent, the header requests that the client close the connection, even if the
// request began before the stop. Otherwise the client could send its next request
// on a connection that is about to be closed.
type response struct {
	http.ResponseWriter
	server *Server
	// cut is set when the handler abandons the request because the host stops.
	cut bool
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.server.closeAfterResponses.Load() {
		r.Header().Set("Connection", "close")
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped ResponseWriter, for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// CloseAfterResponses makes every response, including responses to requests in
// flight, request that the client close the connection. New requests are still
// served.
func (s *Server) CloseAfterResponses() { s.closeAfterResponses.Store(true) }

// Stop stops accepting connections and waits until all requests have their
// responses or ctx is done. In the latter case it aborts the requests in flight,
// allows a short time for their error responses and closes all connections. It
// returns the number of cut requests: requests whose handler called Cut, whose
// response broke off after the abort, or whose handler still ran when the
// connections were closed.
func (s *Server) Stop(ctx context.Context) int64 {
	s.CloseAfterResponses()
	if s.Drain(ctx) == nil {
		return s.totalCut()
	}
	s.abort(errStopping)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortGrace)
	defer cancel()
	_ = s.Drain(ctx) // Close ends the connections that remain
	cut := s.totalCut()
	s.Close()
	return cut
}

// totalCut returns the number of cut requests if all connections are closed now.
func (s *Server) totalCut() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut + s.running
}
