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
//
// The kernel takes a descriptor before it looks for a connection. So a try that
// waits shows as well that there is room, and a shortage ends also when no client
// comes, as none does to a host that is not ready.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			return l.server.accept(nc), nil
		}
		if !isShortage(err) {
			return nil, err
		}
		l.server.noteShortage(err)
		time.Sleep(acceptRetry)
	}
}

// accept makes a connection the server's.
func (s *Server) accept(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s}
	c.begin(fresh)
	s.add(c)
	return c
}

// isShortage reports whether an accept failed for a resource that others may
// give back.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// noteShortage notes that an accept failed for want of a resource. Connections
// that have been idle for starvedIdle end then, which gives back descriptors.
func (s *Server) noteShortage(err error) {
	now := time.Now()
	s.shortAt.Store(&now)
	if s.starved.Swap(true) {
		return
	}
	s.accepting(err)
	s.applyEnds()
	time.AfterFunc(shortageOver, s.endShortage)
}

// endShortage ends a shortage when no accept has failed for shortageOver: at a
// full table of descriptors each one that is given back would end it, and the
// next accept begin it anew.
func (s *Server) endShortage() {
	if left := shortageOver - time.Since(*s.shortAt.Load()); left > 0 {
		time.AfterFunc(left, s.endShortage)
		return
	}
	s.starved.Store(false)
	s.accepting(nil)
}
