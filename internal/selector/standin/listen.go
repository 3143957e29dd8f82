// Package standin has small stand-ins for what surrounds the entry hosts, for
// the quick start, `cairndock standin` and tests: an Upstream that records what
// it ran and fails on request, a Platform that serves a store.Memory by the wire
// protocols of the real services, and a generated system of the planned Size.
package standin

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// loopback is any free port of the own machine: a stand-in has no access
	// control.
	loopback = "127.0.0.1:0"
	// platformHeaderTimeout limits reading the headers of a request to the
	// platform stand-in. Chosen, not measured.
	platformHeaderTimeout = time.Second
	// upstreamHeaderTimeout limits reading the headers of a request to an
	// upstream. Chosen, not measured.
	upstreamHeaderTimeout = 10 * time.Second
)

// Server serves one handler on loopback.
type Server struct {
	// Addr is "address:port".
	Addr string
	http *http.Server
}

// Listen serves one of the platform's handlers at a free port of loopback until
// Close.
func Listen(h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{Addr: l.Addr().String(), http: &http.Server{Handler: h, ReadHeaderTimeout: platformHeaderTimeout}}
	// Serve ends with Close; a loopback listener does not fail before.
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Close ends the server at once.
func (s *Server) Close() { _ = s.http.Close() }
