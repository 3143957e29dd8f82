package httpserver

import "time"

// phaseDeadline returns when the reads of the current phase end; zero means
// never. c.mu is held.
func (c *conn) phaseDeadline() time.Time {
	draining, drainedAt := c.server.drainBegan()
	switch {
	case c.evicted && c.phase != serving:
		return past
	case c.phase == serving:
		return time.Time{}
	case c.phase == lingering:
		return c.since.Add(lingerTime)
	case c.phase == fresh && draining:
		return c.since.Add(drainFreshGrace)
	case c.phase == idle && draining:
		return drainedAt.Add(drainIdleGrace)
	case c.phase == reading && draining:
		return later(drainedAt, c.since).Add(min(drainHeaderTimeout, c.server.limits().header()))
	case c.phase == idle && c.server.inShortage.Load():
		return c.since.Add(min(shortageIdleTimeout, c.server.limits().idle()))
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

// readDeadline returns the earlier of the deadlines of the phase and of the
// http.Server; zero means none. c.mu is held.
func (c *conn) readDeadline() time.Time {
	if c.evicted && c.readsBody {
		return past
	}
	phaseDeadline := c.phaseDeadline()
	if phaseDeadline.IsZero() || !c.deadline.IsZero() && c.deadline.Before(phaseDeadline) {
		return c.deadline
	}
	return phaseDeadline
}

// setReadDeadline applies the read deadline, also to a read in progress.
func (c *conn) setReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// expired reports whether the deadline of the phase has passed, and whether
// that of the http.Server has.
func (c *conn) expired() (phaseExpired, serverExpired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	passed := func(t time.Time) bool { return !t.IsZero() && !now.Before(t) }
	return passed(c.phaseDeadline()), passed(c.deadline) || c.evicted && c.phase == serving
}

// SetReadDeadline sets the read deadline of the http.Server.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// SetDeadline sets the read deadline of the http.Server and the write deadline.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}
