package outlier

import "time"

const (
	// firstBackOff is how long this host avoids an upstream at first; it
	// doubles with each further failure in a row.
	firstBackOff = 500 * time.Millisecond
	// maxBackOffDoublings bounds that doubling, to 4 s.
	maxBackOffDoublings = 3
	// failuresToBackOff is how many failures in a row it takes at an upstream
	// that can be reached; one is enough at one that can't.
	failuresToBackOff = 3
	// endedFor is how long a run of an upstream is avoided that has ended: about until
	// its row lapses, after three missed heartbeats of 1 to 1.5 s. A run never comes
	// back, but where rows do not tell runs apart the next one looks like it.
	endedFor = 4 * time.Second
)

// Outcome is how a request ended at an upstream.
type Outcome uint8

const (
	// Succeeded is a whole response.
	Succeeded Outcome = iota
	// Rejected is the upstream's proof that it did not run the request.
	Rejected
	// Failed is a broken, wrong or missing response.
	Failed
	// Unreachable is a connection that could not be made, or one to another
	// upstream that has the address now.
	Unreachable
	// Canceled is a request given up before its response was complete: the
	// client left, its deadline passed, or it was sent elsewhere as overdue.
	// A response that breaks off while it is forwarded counts as one, too, as
	// either side may have caused it.
	Canceled
)

// consecutive counts this host's failures in a row at one upstream. It is not
// selector/slot's: there a host has slots of its own at an upstream, so that
// its own requests alone decide, and rejections count.
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
		if until := now.Add(backOff(o, c.failures)); until.After(c.ejectedUntil) {
			c.ejectedUntil = until
		}
	case Rejected, Canceled:
		// Load shedding and cancellation are not upstream faults.
	}
}

// backOff returns how long this host avoids an upstream after a failure that
// is the given one in a row, from 1; zero is not at all.
func backOff(o Outcome, failures int) time.Duration {
	doublings := failures - 1
	if o == Failed {
		doublings = failures - failuresToBackOff
	}
	if doublings < 0 {
		return 0
	}
	return firstBackOff << min(doublings, maxBackOffDoublings)
}
