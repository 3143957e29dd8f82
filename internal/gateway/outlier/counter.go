package outlier

import "time"

// counterInterval is the length of each of the two intervals of a counter.
const counterInterval = evidenceWindow / 2

// counter counts failures and successes over a window of two intervals. The
// counts of the previous interval are dropped when the next interval begins, so
// the counter covers between half a window and a whole window.
type counter struct {
	start                       time.Time
	failures, successes         int
	prevFailures, prevSuccesses int
}

func (c *counter) add(now time.Time, failures, successes int) {
	c.advance(now)
	c.failures += failures
	c.successes += successes
}

func (c *counter) count(now time.Time) (failures, successes int) {
	c.advance(now)
	return c.failures + c.prevFailures, c.successes + c.prevSuccesses
}

// advance starts a new interval once the current interval has ended.
func (c *counter) advance(now time.Time) {
	age := now.Sub(c.start)
	if age < counterInterval {
		return
	}
	c.prevFailures, c.prevSuccesses = c.failures, c.successes
	if age >= evidenceWindow {
		c.prevFailures, c.prevSuccesses = 0, 0
	}
	c.failures, c.successes, c.start = 0, 0, now
}
