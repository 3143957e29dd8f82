package proxy

import (
	"net"
	"net/http"
)

// ServeClients accepts client connections on a listener, as ListenClients does at an
// address.
func (s *Server) ServeClients(l net.Listener) { s.serve(s.clients, l) }

// ServeOther serves a handler on a listener, as Listen does at an address.
func (s *Server) ServeOther(l net.Listener, h http.Handler) { s.serveOther(l, h) }
