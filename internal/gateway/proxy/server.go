package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"cairndock/internal/httpserver"
)

const (
	// maxHeader bounds the header that the server reads at all, in bytes. The
	// configuration's own limit is checked after it.
	maxHeader = 64 << 10
	// maxListeners is how many listeners can fail without anybody reading
	// Failed; a host has four.
	maxListeners = 8
)

// Server owns a host's listeners: the one for clients and those for the
// platform and operators.
type Server struct {
	proxy   *Proxy
	clients *httpserver.Server
	others  []*httpserver.Server
	failed  chan error
}

// NewServer makes a server without listeners.
func NewServer(p *Proxy) *Server {
	return &Server{
		proxy: p,
		clients: httpserver.New(httpserver.Options{
			HTTP: &http.Server{Handler: p, MaxHeaderBytes: maxHeader}, Limits: p.clientLimits, RequestCut: p.Log.Cut, AcceptStateChanged: p.noteAccepting,
		}),
		failed: make(chan error, maxListeners),
	}
}

// clientLimits are the configuration's limits of clients' connections.
func (p *Proxy) clientLimits() httpserver.Limits {
	limits := p.State.Limits()
	return httpserver.Limits{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// ListenClients accepts clients at an address. It returns the address with the
// port chosen for port 0.
func (s *Server) ListenClients(address string) (net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for clients")
	}
	s.serve(s.clients, l)
	return l.Addr(), nil
}

// Listen serves a handler other than the proxy at an address.
func (s *Server) Listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.serveOther(l, h)
	return nil
}

func (s *Server) serveOther(l net.Listener, h http.Handler) {
	server := httpserver.New(httpserver.Options{HTTP: &http.Server{Handler: h}})
	s.others = append(s.others, server)
	s.serve(server, l)
}

func (s *Server) serve(server *httpserver.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l, nil); err != nil {
			s.failed <- err
		}
	}()
}

// Failed gives the errors of listeners that ended by themselves.
func (s *Server) Failed() <-chan error { return s.failed }

// drainOthers finishes what the listeners other than the clients' have read, as
// far as the context allows; Close ends the rest.
func (s *Server) drainOthers(ctx context.Context) {
	var wait sync.WaitGroup
	for _, other := range s.others {
		wait.Go(func() { _ = other.Drain(ctx) })
	}
	wait.Wait()
}

// Close closes all listeners and connections at once.
func (s *Server) Close() {
	s.clients.Close()
	for _, other := range s.others {
		other.Close()
	}
}
