package httpserver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// phase is what a connection is doing.
type phase uint8

const (
	// fresh was accepted, and nothing was read from it yet.
	fresh phase = iota
	// reading waits for the rest of a request's header.
	reading
	// serving has a request whose header was read.
	serving
	// idle waits for the next request.
	idle
)

// conn ends its own reads when its phase lasts longer than the limits allow, or
// when it is between requests and the server drains.
type conn struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// triedLast is set when the phase is over and what had arrived was read.
	triedLast bool
	// readAhead is set when the first byte of the next request was read while
	// one was served.
	readAhead bool
	// deadline is the http.Server's own for reads; zero is none.
	deadline time.Time
	// closed is set when the connection was closed at this end.
	closed bool
}

// Read reads what the client sends. It fails with os.ErrDeadlineExceeded, and
// has read nothing, when the phase is over. Then it closes the connection: to a
// part of a header the http.Server would respond as to a malformed one.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if err := c.setReadDeadline(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			phaseOver, serverOver := c.over()
			if serverOver {
				return 0, err
			}
			if !phaseOver {
				continue // the limits have grown since the deadline was set
			}
			n, err = c.readLast(p, err)
		}
		if n > 0 {
			c.noteRead(len(p))
		}
		return n, err
	}
}

// readLast reads what had arrived when the phase was over: a read whose deadline
// has passed does not look, and a host that was held up would reset a request
// that came in time. It does so once a phase. With nothing there it closes the
// connection and returns the error over.
func (c *conn) readLast(p []byte, over error) (int, error) {
	if c.tryLast() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastRead)) // Read reports an error
		if n, err := c.Conn.Read(p); n > 0 {
			return n, err
		}
	}
	_ = c.Conn.Close() // nobody waits for a response on it
	return 0, over
}

// tryLast reports whether the phase may have its last read.
func (c *conn) tryLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	tried := c.triedLast
	c.triedLast = true
	return !tried
}

// noteRead follows what the connection does by what was read from it. The server
// reports a request only after it has read the whole header; while it serves one
// it reads a single byte ahead, to notice that the client leaves.
func (c *conn) noteRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case fresh, idle:
		c.begin(reading)
	case serving:
		c.readAhead = size == 1
	case reading:
	}
}

// begin begins a phase; c.mu is held.
func (c *conn) begin(p phase) { c.phase, c.since, c.triedLast = p, time.Now(), false }

// enter follows the server's view of the connection, and reports whether it was
// closed already.
func (c *conn) enter(state http.ConnState) (closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case state == http.StateActive:
		c.begin(serving)
	case state == http.StateIdle && c.readAhead:
		c.begin(reading)
	case state == http.StateIdle:
		c.begin(idle)
	}
	c.readAhead = false
	return c.closed
}

// end is when the reads of the current phase end; zero is never. c.mu is held.
func (c *conn) end() time.Time {
	draining, drainedAt := c.server.drainBegan()
	switch {
	case c.phase == serving:
		return time.Time{}
	case c.phase == fresh && draining:
		return c.since.Add(drainFresh)
	case c.phase == idle && draining:
		return drainedAt.Add(drainIdle)
	case c.phase == reading && draining:
		return later(drainedAt, c.since).Add(min(drainHeader, c.server.limits().header()))
	case c.phase == idle && c.server.starved.Load():
		return c.since.Add(min(starvedIdle, c.server.limits().idle()))
	case c.phase == idle:
		return c.since.Add(c.server.limits().idle())
	default:
		return c.since.Add(c.server.limits().header())
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// readDeadline is the earlier of the phase's end and the http.Server's own
// deadline; zero is none. c.mu is held.
func (c *conn) readDeadline() time.Time {
	end := c.end()
	if end.IsZero() || !c.deadline.IsZero() && c.deadline.Before(end) {
		return c.deadline
	}
	return end
}

// setReadDeadline puts the deadline in force, also for a read that waits.
func (c *conn) setReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// over reports whether the phase's end has passed, and the http.Server's own
// deadline.
func (c *conn) over() (phaseOver, serverOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	passed := func(t time.Time) bool { return !t.IsZero() && !now.Before(t) }
	return passed(c.end()), passed(c.deadline)
}

// SetReadDeadline sets the http.Server's own deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// SetDeadline sets the http.Server's own deadline of reads and that of writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// CloseWrite tells the client that nothing follows a response whose request was
// not read whole; the http.Server reads on for a time before it closes.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// isServing reports whether a request is in the host's hands.
func (c *conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == serving
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
