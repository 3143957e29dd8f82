// Package httpservertest has what tests of servers share: a listener that stands
// for a host which is short of processor time.
package httpservertest

import (
	"net"
	"sync/atomic"
	"time"
)

// LateListener accepts connections whose reads return late.
type LateListener struct {
	net.Listener
	// Late is by how much, in nanoseconds.
	Late *atomic.Int64
}

// Accept accepts a connection.
func (l LateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{c, l.Late}, nil
}

// lateConn returns what it read later: its reader has taken the bytes from the
// kernel, but does not run.
type lateConn struct {
	net.Conn
	late *atomic.Int64
}

func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(time.Duration(c.late.Load()))
	}
	return n, err
}
