package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"cairndock/internal/httpserver"
	"cairndock/internal/resources"
	"cairndock/internal/verdict"
)

const (
	// maxHeaderBytes limits the request header that the HTTP server reads at all. The
	// limit of the configuration is checked afterwards.
	maxHeaderBytes = 64 << 10
	// otherHeaderBytes limits the request header at the other listeners.
	otherHeaderBytes = 8 << 10
	// maxListeners is how many listeners can fail while nobody reads Failed. A host has
	// four listeners.
	maxListeners = 8
)

// Server owns the listeners of a host: the one for clients and those for the platform and
// operators.
type Server struct {
	proxy  *Proxy
	limits resources.Limits
	// budget is that of all listeners together.
	budget       *httpserver.Budget
	clients      *httpserver.Server
	otherServers []*httpserver.Server
	failed       chan error
}

// NewServer returns a server without listeners for a process with the given limits.
func NewServer(p *Proxy, l resources.Limits) *Server {
	budget := httpserver.NewBudget(l.ConnsBytes(), l.Conns())
	return &Server{
		proxy: p, limits: l, budget: budget,
		clients: httpserver.New(httpserver.Options{
			HTTP: &http.Server{Handler: p, MaxHeaderBytes: maxHeaderBytes}, Limits: p.clientLimits, RequestCut: p.Log.Cut, AcceptStateChanged: p.recordAccepting,
			Budget: budget, MaxConns: l.ClientConns(), Refused: p.headerRefused, Evicted: p.connectionEvicted,
		}),
		failed: make(chan error, maxListeners),
	}
}

// headerRefused records a request that was refused before its header was complete.
func (p *Proxy) headerRefused(client net.Addr, reason httpserver.Refusal) {
	p.Metrics.Count(`cairndock_refusals_total{reason="` + reason.String() + `",verdict="` + verdict.NotRun.String() + `"}`)
	p.Log.HeaderRefused(hostname(client.String()), reason.String())
}

// connectionEvicted records a connection that was closed because others need its resources.
func (p *Proxy) connectionEvicted(client net.Addr) {
	p.Metrics.Count("cairndock_connections_evicted_total")
	p.Log.ConnectionEvicted(hostname(client.String()))
}

// Connections returns the use of the connections and of their memory.
func (s *Server) Connections() httpserver.Usage { return s.budget.Usage() }

// clientLimits returns the configured limits of client connections.
func (p *Proxy) clientLimits() httpserver.Limits {
	limits := p.State.Limits()
	return httpserver.Limits{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout, HeaderBytes: limits.HeaderBytes}
}

// ListenClients accepts client connections at an address. It returns the address with the
// actual port, which matters for port 0.
func (s *Server) ListenClients(address string) (net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for clients")
	}
	s.serve(s.clients, l)
	return l.Addr(), nil
}

// otherLimits returns the limits of the connections of the other listeners.
func otherLimits() httpserver.Limits { return httpserver.Limits{HeaderBytes: otherHeaderBytes} }

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
	server := httpserver.New(httpserver.Options{
		HTTP: &http.Server{Handler: h, MaxHeaderBytes: otherHeaderBytes}, Limits: otherLimits,
		Budget: s.budget, MaxConns: s.limits.OtherConns(), Refused: s.proxy.headerRefused, Evicted: s.proxy.connectionEvicted,
	})
	s.otherServers = append(s.otherServers, server)
	s.serve(server, l)
}

func (s *Server) serve(server *httpserver.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l, nil); err != nil {
			s.failed <- err
		}
	}()
}

// Failed returns the channel of errors from listeners that failed.
func (s *Server) Failed() <-chan error { return s.failed }

// drainOtherServers waits for the requests that the servers other than the client server
// have read, until the context ends. Close aborts the rest.
func (s *Server) drainOtherServers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, server := range s.otherServers {
		wg.Go(func() { _ = server.Drain(ctx) })
	}
	wg.Wait()
}

// Close closes all listeners and connections immediately.
func (s *Server) Close() {
	s.clients.Close()
	for _, server := range s.otherServers {
		server.Close()
	}
}
