package proxy

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

const (
	// maxHeader bounds the header that the server reads at all, in bytes. The
	// configuration's own limit is checked after it. Chosen, not measured.
	maxHeader = 64 << 10
	// maxListeners is how many listeners can fail without anybody reading
	// Failed; a host has four.
	maxListeners = 8
)

// Server owns a host's listeners: the one for clients and those for the
// platform and operators.
type Server struct {
	proxy   *Proxy
	clients *http.Server
	others  []*http.Server
	failed  chan error
}

// NewServer makes a server without listeners.
func NewServer(p *Proxy) *Server {
	return &Server{
		proxy: p,
		// clientListener bounds idle connections and slow headers.
		clients: &http.Server{Handler: p, MaxHeaderBytes: maxHeader, ConnState: noteState, ConnContext: withClientConn},
		failed:  make(chan error, maxListeners),
	}
}

// ListenClients accepts clients at an address. It returns the address with the
// port chosen for port 0.
func (s *Server) ListenClients(address string) (net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for clients")
	}
	s.serveClients(l)
	return l.Addr(), nil
}

func (s *Server) serveClients(l net.Listener) {
	s.serve(s.clients, clientListener{l, s.proxy.State.Limits, s.proxy.Log.Cut})
}

// Listen serves a handler other than the proxy at an address.
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

// Failed gives the errors of listeners that ended by themselves.
func (s *Server) Failed() <-chan error { return s.failed }

// Close closes all listeners and connections at once. Errors are dropped, as the
// process ends after it.
func (s *Server) Close() {
	_ = s.clients.Close()
	for _, other := range s.others {
		_ = other.Close()
	}
}
