package warmup

import (
	"slices"
	"time"
)

// Window is the period over which requests count against a quota. The platform's
// limit applies to the requests that are sent and arrive within any one second.
// The remaining 150 ms allow for the time between writing a request and recording
// that it was written.
const Window = 1150 * time.Millisecond

// Sends are the requests for which a host recently selected one upstream. The zero
// value is empty. A request counts from the selection of its upstream until Window
// has passed since the request was sent, because it may wait for a new connection
// or for CPU time and then arrive together with later requests. Requests to
// a warm upstream count too, because the upstream may become cold at any time.
type Sends struct{ sends []*Send }

// Send is one request for which an upstream was selected.
type Send struct {
	// at is the time when the request was sent, or the time of the selection if the
	// request has not been sent.
	at time.Time
	// waiting is set until the request is sent or ends.
	waiting bool
	// cold is set if the upstream was cold when it was selected.
	cold bool
}

// Add adds a request for which the upstream is selected now.
func (s *Sends) Add(now time.Time, cold bool) *Send {
	s.trim(now)
	x := &Send{at: now, waiting: true, cold: cold}
	s.sends = append(s.sends, x)
	return x
}

// Sent records that the request was sent.
func (x *Send) Sent(now time.Time) {
	if x.waiting {
		x.at, x.waiting = now, false
	}
}

// End records that the request has ended. A request that was not sent stops counting
// when Window has passed since the selection of its upstream.
func (x *Send) End() { x.waiting = false }

// Count returns the number of requests that count against the quota.
func (s *Sends) Count(now time.Time) int {
	s.trim(now)
	return len(s.sends)
}

// Cold returns the number of counted requests for which the upstream was selected
// while it was cold.
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

// trim drops the requests that no longer count against the quota.
func (s *Sends) trim(now time.Time) {
	s.sends = slices.DeleteFunc(s.sends, func(x *Send) bool { return !x.waiting && now.Sub(x.at) >= Window })
}
