package proxy

import "net"

// ServeClients accepts clients of a listener, as ListenClients does at an
// address.
func (s *Server) ServeClients(l net.Listener) { s.serve(s.clients, l) }
