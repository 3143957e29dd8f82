package balance

import "time"

const (
	// toldFor is how long what an upstream told of its load counts.
	loadReportTTL = time.Second
	// coldWindow is the time over which requests to a cold upstream are
	// counted; above a second, for the differences of their ways.
	warmUpWindow = 1150 * time.Millisecond
)

// state is what the host knows of one upstream.
type state struct {
	seed        uint64
	outstanding int

	// toldLoad is what it last told, at toldAt, when ownThen of it were
	// this host's own.
	reportedLoad        int
	outstandingAtReport int
	reportedAt          time.Time

	// coldSends are the times of the last requests sent while it was cold.
	warmUpSends []time.Time
}

// load is the upstream's load in its capacities: this host's own requests,
// and what others were last known to have there.
func (s *state) load(now time.Time, capacity int) float64 {
	requests := float64(s.outstanding)
	if age := now.Sub(s.reportedAt); !s.reportedAt.IsZero() && age < loadReportTTL {
		others := max(0, s.reportedLoad-s.outstandingAtReport)
		requests += float64(others) * (1 - float64(age)/float64(loadReportTTL))
	}
	return requests / float64(max(1, capacity))
}

// sent counts a request that is sent to the upstream.
func (s *state) sent(now, coldUntil time.Time) {
	s.outstanding++
	if now.Before(coldUntil) {
		s.warmUpSends = append(s.warmUpSends, now)
	}
}

func (s *state) observeLoad(load int, now time.Time) {
	s.reportedLoad, s.outstandingAtReport, s.reportedAt = load, s.outstanding, now
}

// coldSent is how many requests the host sent in the last second or so while
// the upstream was cold.
func (s *state) warmUpSent(now time.Time) int {
	kept := s.warmUpSends[:0]
	for _, at := range s.warmUpSends {
		if now.Sub(at) < warmUpWindow {
			kept = append(kept, at)
		}
	}
	s.warmUpSends = kept
	return len(kept)
}
