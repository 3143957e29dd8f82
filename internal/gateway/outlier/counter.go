package outlier

import "time"

// counterHalf is the length of a counter's halves.
const counterHalf = evidenceWindow / 2

// counter counts failures and successes over a window, in two halves: the
// current one and the past one, which is dropped when the next begins. So it
// covers at least the last half of a window and at most a whole one.
type counter struct {
	began                       time.Time
	failures, successes         int
	pastFailures, pastSuccesses int
}

func (c *counter) add(now time.Time, failures, successes int) {
	c.advance(now)
	c.failures += failures
	c.successes += successes
}

func (c *counter) count(now time.Time) (failures, successes int) {
	c.advance(now)
	return c.failures + c.pastFailures, c.successes + c.pastSuccesses
}

// advance begins a new half when the current one has ended.
func (c *counter) advance(now time.Time) {
	age := now.Sub(c.began)
	if age < counterHalf {
		return
	}
	c.pastFailures, c.pastSuccesses = c.failures, c.successes
	if age >= evidenceWindow {
		c.pastFailures, c.pastSuccesses = 0, 0
	}
	c.failures, c.successes, c.began = 0, 0, now
}
