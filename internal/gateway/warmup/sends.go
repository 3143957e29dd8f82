package warmup

import (
	"slices"
	"time"
)

// Window is the time over which requests are counted against a quota. The
// platform's bound counts what arrives in any one second; the rest allows for
// different transit times (chosen, not measured).
const Window = 1150 * time.Millisecond

// Sends are the requests that a host has sent to one upstream lately. The zero
// value has none.
type Sends struct{ sends []send }

// send is one request.
type send struct {
	at time.Time
	// cold is set when the upstream counted as cold.
	cold bool
}

// Add adds a request that is sent now.
func (s *Sends) Add(now time.Time, cold bool) {
	s.trim(now)
	s.sends = append(s.sends, send{at: now, cold: cold})
}

// Cold is how many requests were sent within Window while the upstream
// counted as cold.
func (s *Sends) Cold(now time.Time) int { return s.count(now, true) }

// Warm is how many were sent within Window while it counted as warm.
func (s *Sends) Warm(now time.Time) int { return s.count(now, false) }

func (s *Sends) count(now time.Time, cold bool) int {
	s.trim(now)
	n := 0
	for i := range s.sends {
		if s.sends[i].cold == cold {
			n++
		}
	}
	return n
}

// trim drops the requests from before Window.
func (s *Sends) trim(now time.Time) {
	s.sends = slices.DeleteFunc(s.sends, func(x send) bool { return now.Sub(x.at) >= Window })
}
