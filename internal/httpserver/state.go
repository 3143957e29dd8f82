package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"runtime"
)

// connStateChanged is the ConnState hook of the http.Server.
func (s *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	if outer, ok := nc.(*headerConn); ok {
		outer.endParsing()
	}
	c := unwrap(nc)
	closed := c.applyState(state)
	if state == http.StateIdle {
		runtime.Gosched() // requests that were sent ahead wait for those of other clients
	}
	switch {
	case state == http.StateActive && closed:
		s.cut()
	case state == http.StateIdle:
		s.budget.charge(c, connBytes)
	case state == http.StateHijacked, state == http.StateClosed:
		s.remove(c)
	}
}

// unwrap returns the connection below a headerConn or TLS. All connections of the http.Server
// are accepted by listener, so the type assertion holds.
func unwrap(nc net.Conn) *conn {
	switch outer := nc.(type) {
	case *headerConn:
		return outer.conn
	case *tls.Conn:
		nc = outer.NetConn()
	}
	return nc.(*conn)
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn is the ConnContext hook of the http.Server.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(nc))
}

// ClosedHere reports whether this end closed the connection of the request with
// the given context.
func ClosedHere(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.isClosed()
}
