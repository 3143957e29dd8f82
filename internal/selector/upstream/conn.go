package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/linger"
)

// cancelGrace is the time after a request's deadline at which the slot is
// considered free if the upstream has neither responded nor closed the
// connection. Upstreams stop work at the deadline in the request
// (docs/design/request.md); the grace period allows for clock differences and
// network delays.
const cancelGrace = 500 * time.Millisecond

// errFenced is returned by writes after the request was abandoned or its
// deadline has passed.
var errFenced = eris.New("request was abandoned before this write")

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// conn is a connection to an upstream. It records whether any byte of the
// current request was written, and when the upstream is done with the request.
// Lock order: readMu before writeMu or mu. writeMu and mu are never held
// together.
type conn struct {
	net.Conn

	// writeMu guards the fields that Write checks and sets.
	writeMu  sync.Mutex
	written  bool // a byte of the current request was written
	fenced   bool // further writes fail
	deadline time.Time

	// readMu prevents concurrent reads by linger and the Transport.
	readMu sync.Mutex

	mu sync.Mutex
	// lastRequest is the number of the last request on the connection, counted
	// from 1. busyRequest is the number of the request whose response is not
	// complete yet, or 0.
	lastRequest uint64
	busyRequest uint64
	closing     bool // Close was called
	closed      bool // the upstream is done with the connection
	onClose     []func()
}

// newConn returns a connection that is reset when it is closed with a request in flight, also
// by the end of the process.
func newConn(nc net.Conn) *conn {
	linger.Discard(nc)
	return &conn{Conn: nc}
}

// begin starts a request that must not be written after its deadline, and
// returns its number.
func (c *conn) begin(deadline time.Time) uint64 {
	c.writeMu.Lock()
	c.written, c.deadline = false, deadline
	c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequest++
	c.busyRequest = c.lastRequest
	return c.lastRequest
}

// end records that the complete response of a request was read. The connection
// may already be used by the next request.
func (c *conn) end(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busyRequest == request {
		c.busyRequest = 0
	}
}

// seal prevents all further writes and reports whether any byte of the request
// was written. If not, the request certainly did not run.
func (c *conn) seal() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.fenced = true
	return c.written
}

// Write fails after the request's deadline, so that a host that was paused does
// not send an expired request.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.fenced || (!c.deadline.IsZero() && time.Now().After(c.deadline)) {
		return 0, errFenced
	}
	c.written = true
	return c.Conn.Write(p)
}

// Read reads for the Transport. It returns net.ErrClosed after Close was called.
func (c *conn) Read(p []byte) (int, error) {
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// Close cancels the current request, if there is one. It closes the sending side
// and waits in the background until the upstream closes its side, which confirms
// that the request has ended there. Closing both sides at once would free the
// slot while the request still runs.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil
	}
	c.closing = true
	busy := c.busyRequest != 0
	c.mu.Unlock()
	half, ok := c.Conn.(halfCloser)
	if !busy {
		linger.Deliver(c.Conn)
	}
	if !busy || !ok {
		err := c.Conn.Close()
		c.markClosed()
		return err
	}
	c.seal()
	// Both calls fail only on a broken connection, which linger detects.
	_ = half.CloseWrite()
	_ = c.SetReadDeadline(time.Now()) // interrupts a blocked Read
	go c.linger()
	return nil
}

// linger discards received data until the upstream closes its side, or until
// cancelGrace after the request's deadline, when the upstream must have stopped. An
// upstream that sends more than maxLingerBytes may still be busy until then, although
// its connection is closed at once. The close discards what the upstream has not received of
// the request.
func (c *conn) linger() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.writeMu.Lock()
	deadline := c.deadline
	c.writeMu.Unlock()
	_ = c.SetReadDeadline(deadline.Add(cancelGrace)) // fails only on a closed connection
	buf := make([]byte, 4<<10)
	read := 0
	for read <= maxLingerBytes {
		n, err := c.Conn.Read(buf)
		if read += n; err != nil {
			break
		}
	}
	_ = c.Conn.Close()
	if read > maxLingerBytes {
		time.Sleep(time.Until(deadline.Add(cancelGrace)))
	}
	c.markClosed()
}

// markClosed marks the connection as closed and runs the onClose functions.
func (c *conn) markClosed() {
	c.mu.Lock()
	c.closed = true
	fns := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	for _, f := range fns {
		f()
	}
}

// whenClosed runs f when the upstream is done with the connection, or at once if
// the upstream is already done.
func (c *conn) whenClosed(f func()) {
	c.mu.Lock()
	if !c.closed {
		c.onClose = append(c.onClose, f)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	f()
}
