package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// A request may be delivered long after it was sent, when its connection was cut for a while
// or the process of the peer stood still. The opener sends its deadline by the clock of the
// peer, so that the peer recognizes a request that was given up in the meantime. The wall
// clocks of two hosts may differ; therefore each host has a clock of its own, whose reading
// the opener learns from the Hello and from each pong.

// maxReading is the maximum reading of a clock in milliseconds, some 139 years. A frame with a
// higher one is treated as one without a reading.
const maxReading = 1 << 42

// clock is a monotonic clock that includes the time for which the machine was suspended.
type clock struct {
	// zero is the time at which the clock shows zero.
	zero time.Time
	// suspended is the time for which the machine was suspended, in nanoseconds.
	suspended atomic.Int64
}

// clockAge is the reading of the clock of a host that starts. It is so high that readings are
// positive at any time.
const clockAge = 100 * 365 * 24 * time.Hour

// hostClock is the clock of this host.
var hostClock = &clock{zero: time.Now().Add(-clockAge)}

// Suspended tells the package that the machine was suspended.
func Suspended(gap time.Duration) { hostClock.suspended.Add(int64(gap)) }

// reading returns what the clock shows at a time, in milliseconds.
func (c *clock) reading(t time.Time) int64 {
	return (t.Sub(c.zero) + time.Duration(c.suspended.Load())).Milliseconds()
}

// timeAt returns the time at which the clock shows a reading.
func (c *clock) timeAt(reading int64) time.Time {
	return c.zero.Add(time.Duration(reading)*time.Millisecond - time.Duration(c.suspended.Load()))
}

// peerClock is the last reading of a peer's clock.
type peerClock struct {
	// reading is zero while it is not known; hosts of an older version send none.
	reading int64
	at      time.Time
}

// readingAt returns what the peer's clock shows at a time at least, or zero if it is not
// known. It may show more, by the time for which the reading was in transit.
func (p peerClock) readingAt(t time.Time) int64 {
	if p.reading == 0 {
		return 0
	}
	return max(1, p.reading+t.Sub(p.at).Milliseconds())
}

// observeClock records a reading of the peer's clock that was just received.
func (c *conn) observeClock(reading int64) {
	if reading == 0 || reading > maxReading {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerClock = peerClock{reading, time.Now()}
}

// deadline returns the deadline of a context by the peer's clock, or zero if there is none or
// the clock is not known.
func (c *conn) deadline(ctx context.Context) int64 {
	t, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerClock.readingAt(t)
}
