package poison

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is how many upstreams a request must have terminated one after
	// the other to be quarantined. With two, each repeatable request that shared two
	// upstreams with a poison request would be quarantined. Each additional one costs an
	// upstream per poison request.
	quarantineThreshold = 3
	// ambiguousThreshold replaces quarantineThreshold if exactly the same upstreams
	// terminated under another request. One of the two requests is innocent, and the next
	// termination shows which.
	ambiguousThreshold = quarantineThreshold + 1
	// maxReportDelay is by how much a termination that another host reports may seem later
	// than it was, because of the report's transit between two regions and a busy host.
	// Terminations that two hosts saw are consecutive only if they are further apart.
	// Otherwise, a request that many upstreams ran when they were killed together would
	// seem to have terminated them one after the other.
	maxReportDelay = 100 * time.Millisecond
	// maxTerminations bounds the terminations kept of one request, the latest ones. It
	// allows for ambiguousThreshold of them, some that overlap, and some that were cleared.
	maxTerminations = 12
	// quarantinePeriod is how long a request is refused after the last upstream that it
	// terminated. Then the request is tried again, and one more termination suffices to
	// refuse it again. The period is long enough for people to find the sender, and costs
	// few upstreams per hour if they don't.
	quarantinePeriod = 10 * time.Minute
	// terminationRetention is how long a termination is used: several times
	// quarantinePeriod.
	terminationRetention = time.Hour
)

// termination is the termination of one run of an upstream while it ran a request.
type termination struct {
	run string
	// host names the process that saw the termination. began and ended are when its
	// attempt began and ended, by that process's clock since its start.
	host         string
	began, ended time.Duration
	// at is when the upstream terminated, by this host's clock.
	at time.Time
	// cleared is set when the request got a response afterwards.
	cleared bool
}

// startedAt is when the attempt began, by this host's clock.
func (e *termination) startedAt() time.Time { return e.at.Add(e.began - e.ended) }

// follows reports whether the attempt of e began after the attempt of an earlier
// termination had ended.
func (e *termination) follows(earlier *termination) bool {
	if e.host == earlier.host {
		return e.began >= earlier.ended
	}
	return !e.startedAt().Before(earlier.at.Add(maxReportDelay))
}

// suspect is the state of one suspected request.
type suspect struct {
	terminations []*termination
	// changed is the sequence number of the last change.
	changed int64
	// firsthand and repeated are set once the suspect is in the scope Firsthand or Repeated.
	firsthand, repeated bool
	// unclearedCount is the number of uncleared terminations, and consecutiveCount how
	// many of them were one after the other, as of that change. last is the time of the
	// last uncleared one.
	unclearedCount, consecutiveCount int
	last                             time.Time
	// quarantined is the decision as of that change.
	quarantined bool
}

// updateCounts computes unclearedCount, consecutiveCount and last, so that the decision over
// all suspects, which follows each change, only examines those with enough terminations. A
// host with a sixth of a core receives reports of hundreds of terminations at once when a
// zone is lost. With 256 suspects a change took 59 us without these counts, and 15 and
// 27 us with them (BenchmarkRecordTerminationInFullTable).
func (s *suspect) updateCounts() {
	uncleared := s.unclearedExcept(skipNone)
	s.unclearedCount, s.consecutiveCount, s.last = len(uncleared), consecutive(uncleared), time.Time{}
	if len(uncleared) > 0 {
		s.last = uncleared[len(uncleared)-1].at
	}
}

// find returns the termination of a run, or nil.
func (s *suspect) find(run string) *termination {
	for _, e := range s.terminations {
		if e.run == run {
			return e
		}
	}
	return nil
}

// unclearedExcept returns the uncleared terminations, the earliest first, without those of
// runs for which skip returns true.
func (s *suspect) unclearedExcept(skip func(run string) bool) []*termination {
	var uncleared []*termination
	for _, e := range s.terminations {
		if !e.cleared && !skip(e.run) {
			uncleared = append(uncleared, e)
		}
	}
	slices.SortStableFunc(uncleared, byTime)
	return uncleared
}

// skipNone skips no run.
func skipNone(string) bool { return false }

// consecutive is the number of upstreams that terminated one after the other: each under an
// attempt that began after the previous one had ended. Upstreams that are killed together
// are counted once, however many of them ran the request.
func consecutive(terminations []*termination) int {
	n := 0
	var last *termination
	for _, e := range terminations {
		if last == nil || e.follows(last) {
			n, last = n+1, e
		}
	}
	return n
}

// active reports whether the request has an uncleared termination.
func (s *suspect) active() bool { return s.unclearedCount > 0 }

// clear clears all terminations, and reports whether one was uncleared.
func (s *suspect) clear() bool {
	changed := false
	for _, e := range s.terminations {
		changed = changed || !e.cleared
		e.cleared = true
	}
	return changed
}

// add adds a termination. If there is one of the same run already, add only clears that one
// if the added one is cleared. It reports whether something has changed.
func (s *suspect) add(added *termination) bool {
	if known := s.find(added.run); known != nil {
		changed := added.cleared && !known.cleared
		known.cleared = known.cleared || added.cleared
		return changed
	}
	s.terminations = append(s.terminations, added)
	if len(s.terminations) <= maxTerminations {
		return true
	}
	earliest := slices.MinFunc(s.terminations, byTime)
	s.terminations = slices.DeleteFunc(s.terminations, func(e *termination) bool { return e == earliest })
	return earliest != added
}

// byTime orders terminations by time.
func byTime(a, b *termination) int { return a.at.Compare(b.at) }

// dropExpired drops the terminations that are too old to be used, and reports whether there
// were any.
func (s *suspect) dropExpired(now time.Time) bool {
	before := len(s.terminations)
	s.terminations = slices.DeleteFunc(s.terminations, func(e *termination) bool { return now.Sub(e.at) >= terminationRetention })
	return len(s.terminations) < before
}
