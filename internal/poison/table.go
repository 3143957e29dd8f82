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
	// maxSuspects bounds the requests that are suspected at a time, whoever sends
	// them: 100 KB. Those that ended the fewest upstreams are forgotten first.
	maxSuspects = 256
	// maxReports bounds the reports in one message between hosts: some 8 KB. What is
	// left follows with the next message.
	maxReports = 64
	// newPerSecond bounds the requests a second that become suspects, at each host. When
	// many upstreams are killed at once, hundreds of innocent requests end with them, and
	// each report would reach each host from all hosts that it hears. A poison request
	// that is left out comes again, with all that is known of it: some ten upstreams a
	// second may end under the requests that they run.
	newPerSecond = 64
	// newBurst is how many may become suspects at once: two seconds' worth. Chosen with
	// newPerSecond.
	newBurst = 128
)

// Attempt is an attempt of a request that ended with its upstream.
type Attempt struct {
	// Run is the upstream's run.
	Run          string
	Began, Ended time.Time
}

// Quarantine describes a quarantined request.
type Quarantine struct {
	Fingerprint Fingerprint
	// Runs are the runs of upstreams that ended under it.
	Runs []string
	// Own is set if this host saw the last of them end, and so decided first.
	Own bool
	// Report is what is known of it, as of the decision.
	Report Report
}

// Observer is told of changes. Its methods are called without the table's lock.
type Observer interface {
	// SuspicionsChanged means that other hosts should learn of a change soon.
	SuspicionsChanged()
	// Ended means that an upstream has ended; it may be told more than once.
	Ended(run string, at time.Time)
	// Quarantined and Released mean that a request is refused from now on, or no
	// longer; own if that was decided here.
	Quarantined(Quarantine)
	Released(f Fingerprint, own bool)
}

// Table has the requests that are suspected. It is safe for concurrent use.
type Table struct {
	host     string
	started  time.Time
	observer Observer
	// active is the number of suspects of which an end counts. While it is zero, no
	// request has to be compared with any.
	active atomic.Int64

	// newSuspects bounds how many requests become suspects.
	newSuspects *rate.Limiter

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// sequence numbers the changes, from first on. first is random, so that what a
	// host says to have of an earlier process's changes is never taken for this one's.
	first, sequence int64
	// ended are the ends that the observer is not told of yet.
	ended []*end
}

// NewTable makes a table for the process of a name, which differs for each start of a
// host.
func NewTable(process string, started time.Time, o Observer) *Table {
	first := rand.Int64N(math.MaxInt64 / 2)
	return &Table{
		host: process, started: started, observer: o, newSuspects: rate.NewLimiter(newPerSecond, newBurst),
		suspects: map[Fingerprint]*suspect{}, first: first, sequence: first,
	}
}

// Empty reports whether no request is suspected. Then none needs a fingerprint, which
// keeps the cost off requests while no upstream ends.
func (t *Table) Empty() bool { return t.active.Load() == 0 }

// Counts returns how many requests are suspected, and how many of them quarantined.
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

// List returns the quarantined requests, in the order of their fingerprints.
func (t *Table) List() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.quarantined()
	slices.SortFunc(all, func(a, b Quarantine) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

// Quarantines returns what is known of the quarantined requests.
func (t *Table) Quarantines(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for _, q := range t.quarantined() {
		reports = append(reports, t.report(q.Fingerprint, now))
	}
	return reports
}

// Suspected reports whether an upstream has ended under the request, and it got no
// response since.
func (t *Table) Suspected(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	return s != nil && s.active()
}

// Quarantined reports whether the request is to be refused.
func (t *Table) Quarantined(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	return s != nil && s.quarantined && now.Sub(s.last) < quarantineTime
}

// RecordEnd records that an upstream ended under a request.
func (t *Table) RecordEnd(f Fingerprint, a Attempt) {
	t.change(true, func() bool {
		added := &end{run: a.Run, host: t.host, began: a.Began.Sub(t.started), ended: a.Ended.Sub(t.started), at: a.Ended}
		return t.add(f, added, a.Ended)
	})
}

// RecordResponse records that an upstream responded to a request. A poison request
// gets no response, so that all earlier ends of upstreams are not its doing.
func (t *Table) RecordResponse(f Fingerprint) { t.Release(f) }

// Release clears a request, on all hosts. Three more ends quarantine it again.
func (t *Table) Release(f Fingerprint) {
	t.change(true, func() bool {
		s := t.suspects[f]
		if s == nil || !s.clear() {
			return false
		}
		t.touch(s)
		return true
	})
}

// Suspended has all ends be longer ago by the time for which the machine was suspended.
func (t *Table) Suspended(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		for _, e := range s.ends {
			e.at = e.at.Add(-gap)
		}
		s.sum()
	}
}

// CleanUp forgets what no longer counts.
func (t *Table) CleanUp(now time.Time) {
	t.change(false, func() bool {
		changed := false
		for f, s := range t.suspects {
			if s.forget(now) {
				s.sum()
				changed = true
			}
			if len(s.ends) == 0 {
				delete(t.suspects, f)
			}
		}
		return changed
	})
}
