package upstream

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errFenced says that a write came after its request was given up.
var errFenced = errors.New("request was given up before this write")

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// conn is a connection to an upstream that knows whether its request may
// have reached the upstream, and when the upstream is done with it.
type conn struct {
	net.Conn

	writeMu  sync.Mutex
	written  bool
	fenced   bool
	deadline time.Time

	readMu sync.Mutex

	mu sync.Mutex
	// request numbers the requests on the connection; busy is the one whose
	// answer is not whole yet, or 0.
	request uint64
	busy    uint64
	closing bool
	closed  bool
	onClose []func()
}

// begin starts a request that must not be written after its deadline, and
// gives its number.
func (c *conn) begin(deadline time.Time) uint64 {
	c.writeMu.Lock()
	c.written, c.deadline = false, deadline
	c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request++
	c.busy = c.request
	return c.request
}

// end says that a request's whole answer was read. The connection may carry
// the next request already.
func (c *conn) end(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy == request {
		c.busy = 0
	}
}

// seal stops all further writing and reports whether any byte of the
// request was written. Its answer "no" is proof.
func (c *conn) seal() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.fenced = true
	return c.written
}

// Write refuses a request whose deadline has passed, so that a host which
// slept sends nothing late.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.fenced || (!c.deadline.IsZero() && time.Now().After(c.deadline)) {
		return 0, errFenced
	}
	c.written = true
	return c.Conn.Write(p)
}

// Read reads, unless the connection is being closed.
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

// Close cancels the request, if there is one: it closes the sending side
// and waits, in the background, for the upstream to close its own, which
// confirms that the request is over there.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil
	}
	c.closing = true
	busy := c.busy != 0
	c.mu.Unlock()
	half, ok := c.Conn.(halfCloser)
	if !busy || !ok {
		err := c.Conn.Close()
		c.finish()
		return err
	}
	c.seal()
	_ = half.CloseWrite()
	_ = c.SetReadDeadline(time.Now()) // wakes a reader
	go c.linger()
	return nil
}

// linger reads what still comes until the upstream closes, or until the
// upstream must have stopped by the request's deadline.
func (c *conn) linger() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.writeMu.Lock()
	deadline := c.deadline
	c.writeMu.Unlock()
	_ = c.SetReadDeadline(deadline.Add(cancelGrace))
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			break
		}
	}
	_ = c.Conn.Close()
	c.finish()
}

func (c *conn) finish() {
	c.mu.Lock()
	c.closed = true
	fns := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	for _, f := range fns {
		f()
	}
}

// whenClosed runs f once the upstream is done with the connection.
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
