package fleet

import (
	"sync"
	"time"
)

// statusTTL is how long this host's status is used once it was determined. A host of a large
// zone exchanges many heartbeats in this time, and each of them has the same status.
const statusTTL = 50 * time.Millisecond

// statusCache has the last status of this host.
type statusCache struct {
	mu     sync.Mutex
	status Status
	// at is when the status was determined; zero if it must be determined anew.
	at time.Time
	// resets counts the calls of reset.
	resets int
}

// get returns the status, which is determined anew if it is older than statusTTL.
func (c *statusCache) get(determine func() Status, now time.Time) Status {
	c.mu.Lock()
	if !c.at.IsZero() && now.Sub(c.at) < statusTTL {
		defer c.mu.Unlock()
		return c.status
	}
	resets := c.resets
	c.mu.Unlock()
	status := determine()
	c.mu.Lock()
	defer c.mu.Unlock()
	if resets == c.resets { // otherwise the status may be from before the reset
		c.status, c.at = status, now
	}
	return status
}

// reset makes the next call of get determine the status, because it has changed.
func (c *statusCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = time.Time{}
	c.resets++
}

// status returns the status of this host for heartbeats, which is at most statusTTL old.
func (f *Fleet) status() Status {
	s := f.cachedStatus.get(f.options.Status, time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Withdrawn = f.members.withdrawn
	s.StoreUnreachable = f.members.storeUnreachable
	return s
}
