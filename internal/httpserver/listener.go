package httpserver

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// listener makes accepted connections the server's.
type listener struct {
	net.Listener
	server *Server
}

// Accept accepts a connection. While the process is short of descriptors or
// memory it tries again each acceptRetry: the http.Server would wait up to a
// second between two tries, in which clients wait on a host that says it is
// ready.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			l.server.noteAccepting(nil)
			c := &conn{Conn: nc, server: l.server}
			c.begin(fresh)
			l.server.add(c)
			return c, nil
		}
		if !isShortage(err) {
			return nil, err
		}
		l.server.noteAccepting(err)
		time.Sleep(acceptRetry)
	}
}

// isShortage reports whether an accept failed for a resource that others may
// give back.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// noteAccepting follows whether connections can be accepted. When they can't,
// those that have been idle for starvedIdle end, which gives back descriptors.
func (s *Server) noteAccepting(err error) {
	starved := err != nil
	if s.starved.Swap(starved) == starved {
		return
	}
	s.accepting(err)
	if starved {
		s.applyEnds()
	}
}
