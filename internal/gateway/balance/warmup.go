package balance

import "time"

// warmUpWindow is the time over which requests to a cold upstream are counted
// against the host's quota. The platform's bound counts what arrives in any
// one second; the rest allows for different transit times (chosen, not
// measured).
const warmUpWindow = 1150 * time.Millisecond

// warmUpCount counts the requests that the host sent to an upstream while it
// was cold.
type warmUpCount struct {
	sentAt []time.Time
}

func (c *warmUpCount) add(now time.Time) { c.sentAt = append(c.sentAt, now) }

// count returns the requests sent within the last warmUpWindow.
func (c *warmUpCount) count(now time.Time) int {
	kept := c.sentAt[:0]
	for _, at := range c.sentAt {
		if now.Sub(at) < warmUpWindow {
			kept = append(kept, at)
		}
	}
	c.sentAt = kept
	return len(kept)
}
