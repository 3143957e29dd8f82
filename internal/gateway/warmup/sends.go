package warmup

import (
	"slices"
	"time"
)

// Window is the time over which requests are counted against a quota. The
// platform's bound counts what is sent and arrives in any one second; the rest
// allows for the time between writing a request and noting that it was
// written.
const Window = 1150 * time.Millisecond

// Sends are the requests for which a host has lately chosen one upstream. The zero
// value has none. Each counts from the choice on, and until Window has passed since
// it was sent: a request may wait for a new connection or for processor time, and
// comes together with those chosen later. Requests count whether the upstream was
// cold or warm, as it turns cold at any moment.
type Sends struct{ sends []*Send }

// Send is one request for which an upstream was chosen.
type Send struct {
	// at is when it was sent, or chosen if it was not sent.
	at time.Time
	// waiting is set until it is sent or ends.
	waiting bool
	// cold is set when the upstream counted as cold.
	cold bool
}

// Add adds a request for which the upstream is chosen now.
func (s *Sends) Add(now time.Time, cold bool) *Send {
	s.trim(now)
	x := &Send{at: now, waiting: true, cold: cold}
	s.sends = append(s.sends, x)
	return x
}

// Sent notes that the request was sent.
func (x *Send) Sent(now time.Time) {
	if x.waiting {
		x.at, x.waiting = now, false
	}
}

// End notes that the request has ended. One that was not sent counts from its
// choice.
func (x *Send) End() { x.waiting = false }

// Count is how many requests count against the quota.
func (s *Sends) Count(now time.Time) int {
	s.trim(now)
	return len(s.sends)
}

// Cold is how many of these were chosen for while the upstream counted as cold.
func (s *Sends) Cold(now time.Time) int {
	s.trim(now)
	n := 0
	for _, x := range s.sends {
		if x.cold {
			n++
		}
	}
	return n
}

// trim drops the requests that do not count any more.
func (s *Sends) trim(now time.Time) {
	s.sends = slices.DeleteFunc(s.sends, func(x *Send) bool { return !x.waiting && now.Sub(x.at) >= Window })
}
