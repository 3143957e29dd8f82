package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"cairndock/internal/gateway/route"
)

// Bounds of a caller's connection until a configuration tells others.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// phase is what a caller's connection is doing.
type phase uint8

const (
	// reading waits for the rest of a request's header, or for the first
	// byte of a new connection.
	reading phase = iota
	// serving has a request in hand.
	serving
	// resting waits for the next request.
	idle
)

// callerListener holds callers' connections to the limits in force. The
// limits of http.Server are fixed when it starts; these change with the
// configuration, also for connections that rest already.
type clientListener struct {
	net.Listener
	limits func() route.Limits
}

// Accept takes a connection.
func (l clientListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: nc, limits: l.limits, since: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(c.bound(), c.expired)
	return c, nil
}

// callerConn closes itself when its phase lasts longer than it may.
type clientConn struct {
	net.Conn
	limits func() route.Limits

	mu    sync.Mutex
	phase phase
	since time.Time
	timer *time.Timer
}

// noteState follows the server's view of a connection.
func noteState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.enter(idle)
	case http.StateHijacked, http.StateClosed:
		c.timer.Stop()
	case http.StateNew:
		// Counted from Accept.
	}
}

// Read reads what the caller sends. The first byte after a rest begins a
// header.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.leaveIdle()
	}
	return n, err
}

func (c *clientConn) leaveIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.change(reading)
	}
}

func (c *clientConn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.change(p)
}

// change begins a phase; c.mu is held.
func (c *clientConn) change(p phase) {
	c.phase, c.since = p, time.Now()
	if p == serving {
		c.timer.Stop()
		return
	}
	c.timer.Reset(c.bound())
}

// bound is how long the connection's phase may last by the newest limits.
func (c *clientConn) bound() time.Duration {
	limits := c.limits()
	bound, fallback := limits.HeaderTimeout, defaultHeaderTimeout
	if c.phase == idle {
		bound, fallback = limits.IdleTimeout, defaultIdleTimeout
	}
	if bound <= 0 {
		return fallback
	}
	return bound
}

// expired closes the connection, unless the configuration has given it more
// time meanwhile.
func (c *clientConn) expired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return
	}
	if left := c.bound() - time.Since(c.since); left > 0 {
		c.timer.Reset(left)
		return
	}
	_ = c.Conn.Close()
}
