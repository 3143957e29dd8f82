package httpserver

import "time"

const (
	// minLateness is how late a connection must be to be closed for another one, and emptyLateness
	// how late one without a part of a request must be.
	minLateness   = 50 * time.Millisecond
	emptyLateness = 10 * time.Millisecond
	// minRate is the rate in bytes per second at which a client must send a request to be in
	// time.
	minRate = 16 << 10
)

// past is a deadline that ends reads and writes.
var past = time.Unix(1, 0)

// lateness returns for how long the client has kept the host waiting: for the next byte of a
// request, for its bytes beyond the time that they take at minRate, for the next request, or
// to read a response. It is negative while the host works on a request.
func (c *conn) lateness(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latenessLocked(now)
}

// latenessLocked is lateness; c.mu is held.
func (c *conn) latenessLocked(now time.Time) time.Duration {
	switch {
	case !c.writeBegan.IsZero():
		return now.Sub(c.writeBegan)
	case c.phase == serving && !c.readsBody:
		return -1
	case c.phase == lingering: // may be closed at once, as the response was written
		return minLateness + now.Sub(c.since)
	case c.phase == fresh, c.phase == idle:
		return now.Sub(c.since) + minLateness - emptyLateness
	}
	late := now.Sub(c.since) - time.Duration(c.received)*time.Second/minRate
	return max(late, now.Sub(c.receivedAt))
}

// evict ends the connection because others need its resources, unless its client no longer
// keeps the host waiting. The reading of a body fails, so that its client still gets a
// response.
func (c *conn) evict(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latenessLocked(now) < minLateness {
		return false
	}
	c.evicted = true
	if c.phase == lingering {
		_ = c.Conn.Close() // an error means that it is closed already
		return true
	}
	_ = c.Conn.SetReadDeadline(past) // an error means that the connection is closed
	if !c.writeBegan.IsZero() {
		_ = c.Conn.SetWriteDeadline(past)
	}
	return true
}

// isEvicted reports whether the connection ends because others need its resources.
func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}
