package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/route"
)

const (
	// defaultHeaderTimeout bounds the reading of a request's header until a
	// configuration gives a limit. Chosen, not measured.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout bounds the idle time of a connection until a
	// configuration gives a limit. Chosen, not measured.
	defaultIdleTimeout = 60 * time.Second
)

// phase is what a client's connection is doing.
type phase uint8

const (
	// reading waits for the rest of a request's header, or for the first byte
	// of a new connection.
	reading phase = iota
	// serving has a request in flight.
	serving
	// idle waits for the next request.
	idle
)

// closeCause is why the host closed a client's connection.
type closeCause string

const (
	// stillOpen is the cause of a connection that the host has not closed.
	stillOpen closeCause = ""
	// idleEnd: it was idle for longer than the limit.
	idleEnd closeCause = "idle"
	// headerEnd: a request's header took longer than the limit.
	headerEnd closeCause = "header"
	// serverEnd: http.Server closed it, after a response or at a stop.
	serverEnd closeCause = "server"
)

// clientListener holds clients' connections to the limits in force. Those of
// http.Server are fixed when it starts; these change with the configuration,
// also for connections that are idle already.
type clientListener struct {
	net.Listener
	limits func() route.Limits
	// cut is told of requests that were read on a connection that the host had
	// closed.
	cut func(eventlog.Cut)
}

// Accept accepts a connection.
func (l clientListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: nc, limits: l.limits, cut: l.cut, since: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(phaseTimeout(c.phase, c.limits()), c.expire)
	return c, nil
}

// clientConn closes itself when its phase lasts longer than the limits allow.
type clientConn struct {
	net.Conn
	limits func() route.Limits
	cut    func(eventlog.Cut)

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	timer *time.Timer
	// closed is why the host closed the connection, and closedAt when.
	closed   closeCause
	closedAt time.Time
}

// noteState is the http.Server's ConnState hook: it follows the server's view
// of a connection, whose first phase Accept has begun.
func noteState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(serving)
		c.reportCut()
	case http.StateIdle:
		c.enter(idle)
	case http.StateHijacked, http.StateClosed:
		c.timer.Stop()
	}
}

// Read reads what the client sends. The first byte on an idle connection begins
// a header; the server reports it only after it has read the header.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.begin(reading)
	}
	return n, err
}

func (c *clientConn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(p)
}

// begin begins a phase; c.mu is held.
func (c *clientConn) begin(p phase) {
	c.phase, c.since = p, time.Now()
	if p == serving {
		c.timer.Stop()
		return
	}
	c.timer.Reset(phaseTimeout(p, c.limits()))
}

// phaseTimeout is how long a connection may read a header or be idle.
func phaseTimeout(p phase, limits route.Limits) time.Duration {
	timeout, fallback := limits.HeaderTimeout, defaultHeaderTimeout
	if p == idle {
		timeout, fallback = limits.IdleTimeout, defaultIdleTimeout
	}
	if timeout <= 0 {
		return fallback
	}
	return timeout
}

// expire closes the connection, unless the configuration has given it more time
// since the timer was set.
func (c *clientConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return
	}
	if left := phaseTimeout(c.phase, c.limits()) - time.Since(c.since); left > 0 {
		c.timer.Reset(left)
		return
	}
	cause := headerEnd
	if c.phase == idle {
		cause = idleEnd
	}
	c.noteClosed(cause)
	_ = c.Conn.Close() // it is given up; there is nobody to report an error to
}

// Close closes the connection for the http.Server.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.noteClosed(serverEnd)
	c.mu.Unlock()
	return c.Conn.Close()
}

// noteClosed records the first cause; c.mu is held.
func (c *clientConn) noteClosed(cause closeCause) {
	if c.closed == stillOpen {
		c.closed, c.closedAt = cause, time.Now()
	}
}

// reportCut reports a request whose header was read though the host had closed
// the connection: its client gets no response.
func (c *clientConn) reportCut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != stillOpen {
		c.cut(eventlog.Cut{Cause: string(c.closed), ClosedFor: time.Since(c.closedAt)})
	}
}

// clientConnKey is the key of a request's connection in its context.
type clientConnKey struct{}

// withClientConn is the http.Server's ConnContext hook.
func withClientConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, nc)
}

// clientEnd says for the log whether a request's client can still get a
// response.
func clientEnd(ctx context.Context) eventlog.ClientEnd {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok && c.isClosed() {
		return eventlog.ClientCut
	}
	if ctx.Err() != nil {
		return eventlog.ClientLeft
	}
	return eventlog.ClientConnected
}

func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed != stillOpen
}
