// Package httpservertest provides test helpers for servers: a listener that
// simulates a host which is short of CPU time.
package httpservertest

import (
	"net"
	"sync/atomic"
	"time"
)

// LateListener accepts connections whose reads return with a delay.
type LateListener struct {
	net.Listener
	// Late is the delay in nanoseconds.
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

// lateConn delays the return of each read. It simulates a reader that has taken
// the bytes from the kernel but is not scheduled.
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
