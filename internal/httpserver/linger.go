package httpserver

import (
	"io"
	"time"
)

const (
	// lingerTime is how long a connection whose client may still send bytes stays open after
	// its last response. A close with unread bytes resets the connection, and the client may
	// then not receive the response.
	lingerTime = 500 * time.Millisecond
	// lingerBytes is how much is read meanwhile, to find the end of the client's bytes. Then
	// the client can't send any more until the connection is closed.
	lingerBytes = 256 << 10
)

// setLinger makes Close wait for the client to receive the response.
func (c *conn) setLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// skipLinger makes Close return immediately.
func (c *conn) skipLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = false
}

// startLinger reports whether Close waits for the client, and begins that time.
func (c *conn) startLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.linger || c.evicted || c.phase == lingering {
		return false
	}
	c.setPhase(lingering)
	return true
}

// waitForClient closes the sending direction and waits until the client has closed the
// connection as well, or lingerTime has passed.
func (c *conn) waitForClient() {
	end := time.Now().Add(lingerTime)
	// An error means that the connection is closed, which the read reports.
	_ = c.Conn.SetReadDeadline(end)
	if c.CloseWrite() != nil {
		return
	}
	if n, _ := io.CopyN(io.Discard, c.Conn, lingerBytes); n == lingerBytes {
		time.Sleep(time.Until(end))
	}
}
