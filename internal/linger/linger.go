// Package linger sets what the kernel does with written bytes that the other end of a
// connection has not acknowledged when the connection is closed. By default it goes on to
// deliver them after the close, also after the end of the process.
//
// A connection that carries requests discards them, because the other end would otherwise run
// a request that was given up.
package linger

import "net"

// lingerer is a connection whose linger option can be set, such as a *net.TCPConn.
type lingerer interface {
	SetLinger(seconds int) error
}

// Discard makes a close of the connection, and the end of the process, discard the
// unacknowledged bytes and reset the connection. It applies to TCP connections, also under
// TLS, and does not change others.
func Discard(c net.Conn) { set(c, 0) }

// Deliver makes a close of the connection deliver the unacknowledged bytes first.
func Deliver(c net.Conn) { set(c, -1) }

func set(c net.Conn, seconds int) {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok { // such as a *tls.Conn
		c = outer.NetConn()
	}
	if l, ok := c.(lingerer); ok {
		_ = l.SetLinger(seconds) // an error means that the connection is closed
	}
}
