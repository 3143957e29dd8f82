package outlier

import "time"

// Outcome says how a request ended at an upstream.
type Outcome uint8

// The outcomes.
const (
	// Succeeded is a whole response.
	Succeeded Outcome = iota
	// Rejected is the upstream's proof that it did not run the request.
	Rejected
	// Failed is a broken, wrong or missing response.
	Failed
	// Unreachable is a connection that could not be made.
	Unreachable
	// Canceled is a request that this host itself ended.
	Canceled
)

const (
	// firstBackOff is how long this host avoids an upstream after a failure;
	// it doubles with each failure in a row up to maxBackOff.
	firstBackOff = 500 * time.Millisecond
	maxBackOff   = 4 * time.Second
	// failuresToBackOff is how many failures in a row it takes at an upstream
	// that can be reached.
	failuresToBackOff = 3
)

// consecutive counts failures in a row. It stands beside the evidence of the
// whole region since it needs no window and no other host: an upstream that
// refuses connections is avoided from the first one on, and used again after
// half a second or its first success.
type consecutive struct {
	failures     int
	ejectedUntil time.Time
}

func (c *consecutive) record(o Outcome, now time.Time) {
	switch o {
	case Succeeded:
		c.failures, c.ejectedUntil = 0, time.Time{}
	case Rejected, Canceled:
		// Load shedding and cancellation are not upstream faults.
	case Failed:
		c.failures++
		if c.failures >= failuresToBackOff {
			c.backOff(c.failures-failuresToBackOff, now)
		}
	case Unreachable:
		c.failures++
		c.backOff(c.failures-1, now)
	}
}

func (c *consecutive) backOff(doublings int, now time.Time) {
	pause := firstBackOff << min(doublings, 3)
	c.ejectedUntil = now.Add(min(pause, maxBackOff))
}
