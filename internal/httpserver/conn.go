package httpserver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"
)

// phase is the current activity of a connection.
type phase uint8

const (
	// fresh: the connection was accepted, and nothing was read from it yet.
	fresh phase = iota
	// reading: the connection waits for the rest of a request header.
	reading
	// serving: a request whose header was read is being served.
	serving
	// idle: the connection waits for the next request.
	idle
	// lingering: the last response was written, and the connection is about to be closed.
	lingering
)

// conn is an accepted connection. It ends its own reads when its phase exceeds
// the limits, or when it is between requests and the server drains.
type conn struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// finalReadDone is set when the phase has exceeded its limit and the final
	// read of bytes that had already arrived was made.
	finalReadDone bool
	// readAhead is set when the first byte of the next request was read while a
	// request was being served.
	readAhead bool
	// deadline is the read deadline set by the http.Server; zero means none.
	deadline time.Time
	// closed is set when this end closed the connection.
	closed bool
	// received is the number of bytes that were read in the phase, and receivedAt is when the
	// last byte was read or the phase began.
	received   int64
	receivedAt time.Time
	// readsBody is set while the http.Server waits for bytes of a request's body.
	readsBody bool
	// abandoned is set when the rest of a body is not read.
	abandoned bool
	// writeBegan is when the write in progress began; zero means none.
	writeBegan time.Time
	// writeDeadline is the write deadline set by the http.Server; zero means none.
	writeDeadline time.Time
	// evicted is set when the connection ends because others need its resources.
	evicted bool
	// linger is set when a close must leave the client time to read the response.
	linger bool

	// encrypted is set if the connection is below TLS, so that the bytes that are read do not
	// show where a request ends.
	encrypted bool
	// charged is the memory that the budget accounts for. counted is set while the connection
	// is one of Budget.closing. The budget's lock guards both.
	charged int64
	counted bool
}

// Read reads from the client. When the phase has exceeded its limit and no
// bytes have arrived, Read closes the connection and returns
// os.ErrDeadlineExceeded. It closes the connection itself because the
// http.Server would respond to a partial header with an error for a malformed
// request.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead(len(p)) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.read(p)
	bulk := c.endRead(p[:n], len(p))
	if n == 0 {
		return n, err
	}
	if bulk {
		runtime.Gosched() // other clients' requests go first
	}
	return n, err
}

// inHeader reports whether the bytes that were read last belong to a header.
func (c *conn) inHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == reading
}

// read reads from the client within the limits of the phase.
func (c *conn) read(p []byte) (int, error) {
	for {
		if err := c.setReadDeadline(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			phaseExpired, serverExpired := c.expired()
			if serverExpired {
				return 0, err
			}
			if !phaseExpired {
				continue // the limits were raised after the deadline was set
			}
			return c.readFinal(p, err)
		}
		return n, err
	}
}

// readFinal reads bytes that had already arrived when the phase exceeded its
// limit. A read whose deadline has passed does not return such bytes, so a host
// that was delayed would reset a request that arrived in time. The final read
// is made once per phase. If there are no bytes, readFinal closes the
// connection and returns deadlineErr.
func (c *conn) readFinal(p []byte, deadlineErr error) (int, error) {
	if c.startFinalRead() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) // an error is also returned by Read
		if n, err := c.Conn.Read(p); n > 0 {
			return n, err
		}
	}
	_ = c.Conn.Close() // no request on it waits for a response
	return 0, deadlineErr
}

// startFinalRead reports whether the phase may still make its final read, and
// records that it was made. A connection whose resources others need makes none.
func (c *conn) startFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := c.finalReadDone || c.evicted
	c.finalReadDone = true
	return !done
}

// bulkBytes is the number of bytes in a phase from which on reads let other goroutines run
// first. Usual requests are smaller.
const bulkBytes = 8 << 10

// beginRead records a read into a buffer of the given size. While the http.Server serves a
// request, it reads a single byte ahead to detect that the client disconnects; larger reads are
// those of the body. It returns false if the rest of the body is not to be read.
func (c *conn) beginRead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsBody = c.phase == serving && size > 1 && !c.encrypted
	return !c.abandoned
}

// endRead updates the phase after bytes were read into a buffer of the given size, and reports
// whether the client has sent much in the phase. The http.Server reports a request only after
// it has read the complete header.
func (c *conn) endRead(p []byte, size int) (bulk bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsBody = false
	if len(p) == 0 {
		return false
	}
	switch c.phase {
	case fresh, idle:
		c.setPhase(reading)
	case serving:
		c.readAhead = size == 1
	}
	c.received += int64(len(p))
	c.receivedAt = time.Now()
	return c.received > bulkBytes
}

// setPhase starts a phase; c.mu is held.
func (c *conn) setPhase(p phase) {
	c.phase, c.since, c.finalReadDone = p, time.Now(), false
	c.received, c.receivedAt = 0, c.since
}

// applyState updates the phase to the connection state of the http.Server and
// reports whether this end had already closed the connection.
func (c *conn) applyState(state http.ConnState) (closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case state == http.StateActive:
		c.setPhase(serving)
	case state == http.StateIdle && c.readAhead:
		c.setPhase(reading)
	case state == http.StateIdle:
		c.setPhase(idle)
	}
	c.readAhead = false
	return c.closed
}

// CloseWrite signals to the client that nothing follows the last response. The http.Server
// calls it for a request that was not read completely, and waits for some time before it closes
// the connection.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	if c.phase != lingering {
		c.setPhase(lingering)
	}
	c.mu.Unlock()
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}

// Close closes the connection, after lingerTime if the client may still send bytes.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if c.startLinger() {
		c.waitForClient()
	}
	c.server.budget.remove(c)
	return c.Conn.Close()
}

// isServing reports whether a request on the connection is being served.
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
