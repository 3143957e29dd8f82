package poison

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxSuspects bounds the requests that are suspected at a time, over all clients: about
	// 100 KB. Those with the fewest consecutive terminations are evicted first.
	maxSuspects = 256
	// maxReports bounds the reports in one message between hosts: some 8 KB. The next
	// message has the remaining ones.
	maxReports = 64
	// newSuspectRate bounds the requests per second that become suspects, at each host.
	// When many upstreams are killed at once, hundreds of innocent requests fail with
	// them, and each host would receive each report from all hosts that send it
	// heartbeats. A poison request that is left out is sent again by its client, and each
	// report of it carries all terminations that the sender knows. The rate suffices for
	// some ten upstreams per second that terminate under the requests that they run.
	newSuspectRate = 64
	// newSuspectBurst is how many requests may become suspects at once: two seconds' worth
	// of newSuspectRate.
	newSuspectBurst = 128
)

// Attempt is an attempt of a request that failed because its upstream terminated.
type Attempt struct {
	// Run is the upstream's run that terminated.
	Run string
	// Began and Ended are when the attempt began and ended.
	Began, Ended time.Time
}

// Quarantine describes a quarantined request.
type Quarantine struct {
	Fingerprint Fingerprint
	// Runs are the runs of upstreams that terminated under the request, the earliest first.
	Runs []string
	// Last is when the last of these runs terminated.
	Last time.Time
	// Own is set if this host saw at least one of these terminations. Hosts may disagree
	// on which termination was the last, because the transit of a report makes it seem
	// later, so that the last one does not determine a host that stores the quarantine.
	Own bool
	// Report has the request's terminations.
	Report Report
}

// Observer is notified of changes. Its methods are called without the table's lock.
type Observer interface {
	// SuspicionsChanged means that a change should be sent to other hosts soon.
	SuspicionsChanged()
	// UpstreamTerminated means that an upstream has terminated. It may be called more than
	// once for the same run.
	UpstreamTerminated(run string, at time.Time)
	// Quarantined and Released mean that a request is refused from now on, or is no longer
	// refused. own is set if this host decided so first.
	Quarantined(Quarantine)
	Released(f Fingerprint, own bool)
}

// Table holds the suspected requests. It is safe for concurrent use.
type Table struct {
	host     string
	started  time.Time
	observer Observer
	// active is the number of suspects with an uncleared termination. While it is zero, no
	// request has to be compared with the suspects.
	active atomic.Int64

	// newSuspects limits the rate at which requests become suspects.
	newSuspects *rate.Limiter

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// sequence is the number of the last change; the numbers start after first. first is
	// random, so that an acknowledgment of an earlier process's changes is never mistaken
	// for one of this process's changes.
	first, sequence int64
	// unreported are the terminations of which the observer has not been notified yet.
	unreported []*termination
}

// NewTable returns a table for the named process. The name must differ for each start of a
// host.
func NewTable(process string, started time.Time, o Observer) *Table {
	first := rand.Int64N(math.MaxInt64 / 2)
	return &Table{
		host: process, started: started, observer: o, newSuspects: rate.NewLimiter(newSuspectRate, newSuspectBurst),
		suspects: map[Fingerprint]*suspect{}, first: first, sequence: first,
	}
}

// Empty reports whether no request is suspected. In this case no request needs a
// fingerprint, so that requests bear no such cost while no upstream terminates.
func (t *Table) Empty() bool { return t.active.Load() == 0 }

// Counts returns how many requests are suspected, and how many of them are quarantined.
func (t *Table) Counts() (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		if s.active() {
			suspected++
		}
		if s.quarantined {
			quarantined++
		}
	}
	return suspected, quarantined
}

// List returns the quarantined requests by ascending fingerprint.
func (t *Table) List() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.quarantined()
	slices.SortFunc(all, func(a, b Quarantine) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

// Quarantines returns the quarantined requests with their reports.
func (t *Table) Quarantines(now time.Time) []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.quarantined()
	for i := range all {
		all[i].Report = t.report(all[i].Fingerprint, now)
	}
	return all
}

// Suspected reports whether an upstream has terminated under the request, and the request
// got no response since.
func (t *Table) Suspected(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	return s != nil && s.active()
}

// Quarantined reports whether the request must be refused.
func (t *Table) Quarantined(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	return s != nil && s.quarantined && now.Sub(s.last) < quarantinePeriod
}

// RecordTermination records that an upstream terminated under a request.
func (t *Table) RecordTermination(f Fingerprint, a Attempt) {
	t.change(true, func() bool {
		if t.suspects[f] == nil && !t.newSuspects.AllowN(a.Ended, 1) {
			return false
		}
		added := &termination{run: a.Run, host: t.host, began: a.Began.Sub(t.started), ended: a.Ended.Sub(t.started), at: a.Ended}
		return t.add(f, added, true)
	})
}

// RecordResponse records that an upstream responded to a request. A poison request gets no
// response, so that this request has caused none of its earlier terminations.
func (t *Table) RecordResponse(f Fingerprint) { t.Release(f) }

// Release clears a request, on all hosts. quarantineThreshold more terminations quarantine
// it again.
func (t *Table) Release(f Fingerprint) {
	t.change(true, func() bool {
		s := t.suspects[f]
		if s == nil || !s.clear() {
			return false
		}
		t.markChanged(s, true)
		return true
	})
}

// Suspended makes all terminations older by the time for which the machine was suspended.
func (t *Table) Suspended(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		for _, e := range s.terminations {
			e.at = e.at.Add(-gap)
		}
		s.updateCounts()
	}
}

// CleanUp drops terminations that are too old to be used, and suspects without any.
func (t *Table) CleanUp(now time.Time) {
	t.change(false, func() bool {
		changed := false
		for f, s := range t.suspects {
			if s.dropExpired(now) {
				s.updateCounts()
				changed = true
			}
			if len(s.terminations) == 0 {
				delete(t.suspects, f)
			}
		}
		return changed
	})
}
