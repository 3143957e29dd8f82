package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// cancelGrace is how long after a request's deadline an upstream that neither
// responds nor closes may still be busy with it; then its slot counts as free.
// Upstreams stop at the deadline they are sent (docs/design/request.md); the
// margin is for clocks and the network.
const cancelGrace = 500 * time.Millisecond

// errFenced is the error of a write after the request was abandoned or its
// deadline has passed.
var errFenced = eris.New("request was abandoned before this write")

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// conn is a connection to an upstream that records whether any byte of its
// request was written, and when the upstream is done with the request. readMu
// is taken before writeMu or mu; those two are never held together.
type conn struct {
	net.Conn

	// writeMu guards what Write decides by.
	writeMu  sync.Mutex
	written  bool // a byte of the current request was written
	fenced   bool // nothing more may be written
	deadline time.Time

	// readMu keeps linger from reading beside the Transport.
	readMu sync.Mutex

	mu sync.Mutex
	// lastRequest numbers the requests on the connection, from 1; busyRequest is
	// the one whose response is not whole yet, or 0.
	lastRequest uint64
	busyRequest uint64
	closing     bool // Close was called
	closed      bool // the upstream is done with the connection
	onClose     []func()
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

// end records that a request's whole response was read. The connection may
// carry the next request already.
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

// Write fails once the request's deadline has passed, so that a host that was
// paused sends nothing late.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.fenced || (!c.deadline.IsZero() && time.Now().After(c.deadline)) {
		return 0, errFenced
	}
	c.written = true
	return c.Conn.Write(p)
}

// Read reads for the Transport, until the connection is being closed.
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

// Close cancels the request, if there is one: it closes the sending side and
// waits, in the background, for the upstream to close its own, which confirms
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
	if !busy || !ok {
		err := c.Conn.Close()
		c.markClosed()
		return err
	}
	c.seal()
	// An error of these two means a broken connection, which linger meets.
	_ = half.CloseWrite()
	_ = c.SetReadDeadline(time.Now()) // wakes a reader
	go c.linger()
	return nil
}

// linger discards what still arrives until the upstream closes its side, or
// until it must have stopped: cancelGrace after the request's deadline.
func (c *conn) linger() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.writeMu.Lock()
	deadline := c.deadline
	c.writeMu.Unlock()
	_ = c.SetReadDeadline(deadline.Add(cancelGrace)) // fails only if closed
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			break
		}
	}
	_ = c.Conn.Close()
	c.markClosed()
}

// markClosed runs what waits for the connection's end.
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

// whenClosed runs f once the upstream is done with the connection, at once if
// it already is.
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
