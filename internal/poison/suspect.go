package poison

import (
	"slices"
	"time"
)

const (
	// maxRounds is how many upstreams a request must have ended one after the other to
	// be quarantined. With two, each request that may be repeated and shared two
	// upstreams with a poison request would be; more cost an upstream each.
	maxRounds = 3
	// betweenHosts is how much later than it was the end that another host reports may
	// seem: the way of the report between two regions, and a busy host. Ends that two
	// hosts saw count as one after the other only beyond it. Otherwise a request that
	// many upstreams ran when they were killed together would count as having ended
	// them in turn.
	betweenHosts = 100 * time.Millisecond
	// sureRounds is how many it takes where another request ended exactly the same
	// upstreams: one of the two is innocent, and the next end tells which.
	sureRounds = maxRounds + 1
	// maxEnds bounds the ends kept of one request, the latest ones: enough for
	// sureRounds, some that overlap, and some that were cleared.
	maxEnds = 12
	// quarantineTime is how long a request is refused after the last upstream that it
	// ended. Then it is tried: one more end suffices to refuse it again: long enough
	// for people to find what sends it, and few enough upstreams an hour if they
	// don't.
	quarantineTime = 10 * time.Minute
	// forgetAfter is how long an end counts: several times quarantineTime.
	forgetAfter = time.Hour
)

// end is the end of one run of an upstream while it ran a request.
type end struct {
	run string
	// host names the process that saw it, and began and ended are when the attempt
	// there began and ended, by that process's clock since its start.
	host         string
	began, ended time.Duration
	// at is when it ended, by this host's clock.
	at time.Time
	// cleared is set when the request got a response afterwards.
	cleared bool
}

func (e *end) startedAt() time.Time { return e.at.Add(e.began - e.ended) }

// follows reports whether the attempt of e began after that of an earlier end had
// ended.
func (e *end) follows(earlier *end) bool {
	if e.host == earlier.host {
		return e.began >= earlier.ended
	}
	return !e.startedAt().Before(earlier.at.Add(betweenHosts))
}

// suspect is what is known of one request.
type suspect struct {
	ends []*end
	// changed is the sequence number of the last change.
	changed int64
	// counting is how many ends count, and inTurn how many of them were one after the
	// other, as of that change; last is when the last of them was.
	counting, inTurn int
	last             time.Time
	// quarantined is the decision as of that change.
	quarantined bool
}

// sum works out counting, inTurn and last, so that a decision over all suspects, which
// follows each change, looks only at those with ends enough: a host with a sixth of a core
// hears of hundreds of ends at once when a zone is lost. With 256 suspects a change took
// 59 us without, and 15 and 27 us with it (BenchmarkRecordEndInFullTable).
func (s *suspect) sum() {
	ends := s.counted(none)
	s.counting, s.inTurn, s.last = len(ends), rounds(ends), time.Time{}
	if len(ends) > 0 {
		s.last = ends[len(ends)-1].at
	}
}

// find returns the end of a run, or nil.
func (s *suspect) find(run string) *end {
	for _, e := range s.ends {
		if e.run == run {
			return e
		}
	}
	return nil
}

// counted returns the ends that count, the earliest first: those that were not
// cleared and that skip does not skip.
func (s *suspect) counted(skip func(run string) bool) []*end {
	var ends []*end
	for _, e := range s.ends {
		if !e.cleared && !skip(e.run) {
			ends = append(ends, e)
		}
	}
	slices.SortStableFunc(ends, byTime)
	return ends
}

// none skips no end.
func none(string) bool { return false }

// rounds is how many upstreams ended one after the other: each under an attempt that
// began after the one before had ended. Upstreams that are killed together count as
// one, however many of them ran the request.
func rounds(ends []*end) int {
	n := 0
	var last *end
	for _, e := range ends {
		if last == nil || e.follows(last) {
			n, last = n+1, e
		}
	}
	return n
}

// active reports whether an end of the request counts.
func (s *suspect) active() bool { return s.counting > 0 }

// clear clears all ends, and reports whether one was not.
func (s *suspect) clear() bool {
	changed := false
	for _, e := range s.ends {
		changed = changed || !e.cleared
		e.cleared = true
	}
	return changed
}

// add adds an end unless its run has one already, in which case only its clearing
// counts. It reports whether something has changed.
func (s *suspect) add(added *end) bool {
	if known := s.find(added.run); known != nil {
		changed := added.cleared && !known.cleared
		known.cleared = known.cleared || added.cleared
		return changed
	}
	s.ends = append(s.ends, added)
	if len(s.ends) <= maxEnds {
		return true
	}
	earliest := slices.MinFunc(s.ends, byTime)
	s.ends = slices.DeleteFunc(s.ends, func(e *end) bool { return e == earliest })
	return earliest != added
}

// byTime orders ends by when they were.
func byTime(a, b *end) int { return a.at.Compare(b.at) }

// forget drops the ends that are too old to count, and reports whether there were any.
func (s *suspect) forget(now time.Time) bool {
	before := len(s.ends)
	s.ends = slices.DeleteFunc(s.ends, func(e *end) bool { return now.Sub(e.at) >= forgetAfter })
	return len(s.ends) < before
}
