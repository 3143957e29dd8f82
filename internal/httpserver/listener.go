package httpserver

import (
	"errors"
	"net"
	"runtime"
	"syscall"
	"time"
)

// listener registers accepted connections with the server.
type listener struct {
	net.Listener
	server *Server
	// encrypted is set if the connections carry TLS.
	encrypted bool
}

// Accept accepts a connection. While the process is short of descriptors or
// memory, it retries every acceptRetryInterval. The http.Server would wait up
// to a second between attempts, while clients wait on a host that reports that
// it is ready.
//
// The kernel allocates a descriptor before it waits for a connection. An accept
// that blocks therefore shows that descriptors are available again. A shortage
// can thus end without a new connection, which matters because no client
// connects to a host that is not ready.
func (l listener) Accept() (net.Conn, error) {
	for {
		runtime.Gosched() // requests go before new connections
		l.server.waitForBudget()
		nc, err := l.Listener.Accept()
		if err == nil {
			c, ok := l.accept(nc)
			if !ok {
				continue
			}
			if l.encrypted {
				return c, nil
			}
			return &headerConn{conn: c}, nil
		}
		if !isShortage(err) {
			return nil, err
		}
		l.server.noteShortage(err)
		time.Sleep(acceptRetryInterval)
	}
}

// waitForBudget waits until connections that were closed for others have ended, but no longer
// than maxClosingWait.
func (s *Server) waitForBudget() {
	for end := time.Now().Add(maxClosingWait); s.budget.isBehind() && time.Now().Before(end); {
		time.Sleep(closingPollInterval)
	}
}

// accept registers a network connection with the server. A connection for which there is no
// room for maxRoomWait is closed before anything is read from it, so that its client can turn to
// another host.
func (l listener) accept(nc net.Conn) (*conn, bool) {
	c := &conn{Conn: nc, server: l.server, encrypted: l.encrypted}
	c.setPhase(fresh)
	for end := time.Now().Add(maxRoomWait); !l.server.budget.add(c); time.Sleep(roomPollInterval) {
		if time.Now().After(end) {
			_ = nc.Close() // an error means that it is closed already
			return nil, false
		}
	}
	l.server.add(c)
	return c, true
}

// isShortage reports whether an accept failed for lack of a resource that may
// be released again.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// noteShortage records that an accept failed for lack of a resource. During a
// shortage, connections that are idle for shortageIdleTimeout are closed, which
// releases descriptors.
func (s *Server) noteShortage(err error) {
	now := time.Now()
	s.lastShortageAt.Store(&now)
	if s.inShortage.Swap(true) {
		return
	}
	s.acceptStateChanged(err)
	s.applyReadDeadlines()
	time.AfterFunc(shortageEndDelay, s.endShortage)
}

// endShortage ends a shortage once no accept has failed for shortageEndDelay.
// Without this delay, each descriptor that is released while the table is full
// would end the shortage, and the next accept would start another one.
func (s *Server) endShortage() {
	if left := shortageEndDelay - time.Since(*s.lastShortageAt.Load()); left > 0 {
		time.AfterFunc(left, s.endShortage)
		return
	}
	s.inShortage.Store(false)
	s.acceptStateChanged(nil)
}
