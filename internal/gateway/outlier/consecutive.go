package outlier

import "time"

const (
	// initialBackoff is the time for which this host first avoids an upstream.
	// It doubles with each further consecutive failure.
	initialBackoff = 500 * time.Millisecond
	// maxBackoffDoublings limits the backoff to 4 s.
	maxBackoffDoublings = 3
	// minFailedToBackoff is the number of consecutive failures after which a
	// reachable upstream is avoided. A single failure suffices for an
	// unreachable upstream.
	minFailedToBackoff = 3
	// terminatedBackoff is the time for which a terminated run of an upstream is
	// avoided. It is about the time until the run's row expires, which happens
	// after three missed heartbeats of 1 to 1.5 s each. A run never resumes, but
	// if the rows do not distinguish runs, the next run looks like the terminated
	// one and must become usable again.
	terminatedBackoff = 4 * time.Second
)

// Outcome is the result of a request at an upstream.
type Outcome uint8

const (
	// Succeeded means that the upstream returned a complete response.
	Succeeded Outcome = iota
	// Rejected means that the upstream proved that it did not run the request.
	Rejected
	// Failed means that the response was truncated, invalid or missing.
	Failed
	// Unreachable means that no connection could be established, or that
	// another upstream now uses the address.
	Unreachable
	// Canceled means that the request was aborted before its response was
	// complete, because the client disconnected, the deadline expired, or the
	// overdue request was sent to another upstream.
	Canceled
)

// consecutive counts this host's consecutive failures at one upstream. Package
// selector/slot has a different rule: each host owns slots at an upstream there,
// so only its own requests are considered, and rejections count as failures.
type consecutive struct {
	failures     int
	ejectedUntil time.Time
}

func (c *consecutive) record(o Outcome, now time.Time) {
	switch o {
	case Succeeded:
		*c = consecutive{}
	case Failed, Unreachable:
		c.failures++
		if until := now.Add(backoff(o, c.failures)); until.After(c.ejectedUntil) {
			c.ejectedUntil = until
		}
	case Rejected, Canceled:
		// Load shedding and cancellation are not upstream faults.
	}
}

// backoff returns the time for which this host avoids an upstream after a number
// of consecutive failures, including the latest one. Zero means that the
// upstream is not avoided.
func backoff(o Outcome, failures int) time.Duration {
	doublings := failures - 1
	if o == Failed {
		doublings = failures - minFailedToBackoff
	}
	if doublings < 0 {
		return 0
	}
	return initialBackoff << min(doublings, maxBackoffDoublings)
}
