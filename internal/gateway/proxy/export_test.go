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

// MeanBytes returns the mean size of a route's requests and responses.
func (p *Proxy) MeanBytes(route string) float64 { return p.payload.Mean(route) }
