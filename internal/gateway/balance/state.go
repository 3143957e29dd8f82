package balance

import "time"

const (
	// toldFor is how long what an upstream told of its load counts.
	toldFor = time.Second
	// firstEjection is how long an upstream is the last choice after a
	// failure; it doubles with each failure in a row up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// failuresToEject is how many failures in a row eject an upstream that
	// can be reached.
	failuresToEject = 3
	// coldWindow is the time over which requests to a cold upstream are
	// counted; above a second, for the differences of their ways.
	coldWindow = 1150 * time.Millisecond
)

// state is what the host knows of one upstream.
type state struct {
	seed        uint64
	outstanding int

	// toldLoad is what it last told, at toldAt, when ownThen of it were
	// this host's own.
	toldLoad int
	ownThen  int
	toldAt   time.Time

	failures     int
	ejectedUntil time.Time

	// coldSends are the times of the last requests sent while it was cold.
	coldSends []time.Time
}

// load is the upstream's load in its capacities: this host's own requests,
// and what others were last known to have there.
func (s *state) load(now time.Time, capacity int) float64 {
	requests := float64(s.outstanding)
	if age := now.Sub(s.toldAt); !s.toldAt.IsZero() && age < toldFor {
		others := max(0, s.toldLoad-s.ownThen)
		requests += float64(others) * (1 - float64(age)/float64(toldFor))
	}
	return requests / float64(max(1, capacity))
}

// sent counts a request that is sent to the upstream.
func (s *state) sent(now, coldUntil time.Time) {
	s.outstanding++
	if now.Before(coldUntil) {
		s.coldSends = append(s.coldSends, now)
	}
}

func (s *state) told(load int, now time.Time) {
	s.toldLoad, s.ownThen, s.toldAt = load, s.outstanding, now
}

func (s *state) note(outcome Outcome, now time.Time) {
	switch outcome {
	case Answered:
		s.failures, s.ejectedUntil = 0, time.Time{}
	case Shed, Abandoned:
		// Neither says that the upstream is broken.
	case Failed:
		s.failures++
		if s.failures >= failuresToEject {
			s.eject(s.failures-failuresToEject, now)
		}
	case Unreachable:
		s.failures++
		s.eject(s.failures-1, now)
	}
}

func (s *state) eject(doublings int, now time.Time) {
	pause := firstEjection << min(doublings, 3)
	s.ejectedUntil = now.Add(min(pause, maxEjection))
}

// coldSent is how many requests the host sent in the last second or so while
// the upstream was cold.
func (s *state) coldSent(now time.Time) int {
	kept := s.coldSends[:0]
	for _, at := range s.coldSends {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	s.coldSends = kept
	return len(kept)
}
