package poison

import (
	"bytes"
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxSuspects bounds the requests that are suspected at a time, whoever sends
	// them: 100 KB. Those that ended the fewest upstreams are forgotten first.
	maxSuspects = 256
	// maxReports bounds the reports in one message between hosts: some 8 KB. What is
	// left follows with the next message.
	maxReports = 64
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
	return &Table{host: process, started: started, observer: o, suspects: map[Fingerprint]*suspect{}, first: first, sequence: first}
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
	return s != nil && s.quarantined && now.Sub(s.lastEnd()) < quarantineTime
}

// RecordEnd records that an upstream ended under a request.
func (t *Table) RecordEnd(f Fingerprint, a Attempt) {
	t.change(true, func() bool {
		added := &end{Run: a.Run, host: t.host, began: a.Began.Sub(t.started), ended: a.Ended.Sub(t.started), at: a.Ended}
		return t.add(f, added)
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

// Merge adds what another host knows.
func (t *Table) Merge(reports []Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	t.change(false, func() bool {
		changed := false
		for _, r := range reports {
			for _, reported := range r.Ends {
				if e, ok := reported.end(now); ok {
					changed = t.add(r.Fingerprint, e) || changed
				}
			}
		}
		return changed
	})
}

// Since returns what has changed after a sequence number, the earliest change first,
// and the number up to which that is all. Any number that was not returned by this
// table stands for nothing: all is returned.
func (t *Table) Since(sequence int64, now time.Time) (reports []Report, upTo int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sequence < t.first || sequence > t.sequence {
		sequence = t.first
	}
	if sequence == t.sequence {
		return nil, t.sequence
	}
	var changed []Fingerprint
	for f, s := range t.suspects {
		if s.changed > sequence {
			changed = append(changed, f)
		}
	}
	slices.SortFunc(changed, func(a, b Fingerprint) int { return cmp.Compare(t.suspects[a].changed, t.suspects[b].changed) })
	upTo = t.sequence
	if len(changed) > maxReports {
		changed = changed[:maxReports]
		upTo = t.suspects[changed[maxReports-1]].changed
	}
	for _, f := range changed {
		reports = append(reports, t.report(f, now))
	}
	return reports, upTo
}

// report returns what is known of a request; t.mu is held.
func (t *Table) report(f Fingerprint, now time.Time) Report {
	r := Report{Fingerprint: f}
	for _, e := range t.suspects[f].ends {
		r.Ends = append(r.Ends, e.report(now))
	}
	return r
}

// Suspended has all ends be longer ago by the time for which the machine was suspended.
func (t *Table) Suspended(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		for _, e := range s.ends {
			e.at = e.at.Add(-gap)
		}
	}
}

// CleanUp forgets what no longer counts.
func (t *Table) CleanUp(now time.Time) {
	t.change(false, func() bool {
		changed := false
		for f, s := range t.suspects {
			changed = s.forget(now) || changed
			if len(s.ends) == 0 {
				delete(t.suspects, f)
			}
		}
		return changed
	})
}

// add adds an end to a request's; t.mu is held.
func (t *Table) add(f Fingerprint, e *end) bool {
	s := t.suspects[f]
	if s == nil {
		s = &suspect{}
		t.suspects[f] = s
	}
	if !s.add(e) {
		return false
	}
	t.ended = append(t.ended, e)
	t.touch(s)
	return true
}

// touch numbers a change of a suspect; t.mu is held.
func (t *Table) touch(s *suspect) {
	t.sequence++
	s.changed = t.sequence
}

// change makes a change, decides anew if there was one, and tells the observer. own is
// set unless another host made the change first.
func (t *Table) change(own bool, apply func() bool) {
	t.mu.Lock()
	if !apply() {
		t.mu.Unlock()
		return
	}
	t.evict()
	before := t.refused()
	decide(t.suspects)
	after := t.quarantined()
	var begun []Quarantine
	for _, q := range after {
		if !before[q.Fingerprint] {
			q.Report = t.report(q.Fingerprint, time.Now())
			begun = append(begun, q)
		}
		delete(before, q.Fingerprint)
	}
	ended := t.ended
	t.ended = nil
	t.active.Store(t.countActive())
	t.mu.Unlock()
	t.tell(ended, begun, before, own)
}

// tell tells the observer of a change: the ends that are new, the requests that are
// refused from now on, and those that no longer are.
func (t *Table) tell(ended []*end, begun []Quarantine, released map[Fingerprint]bool, own bool) {
	t.observer.SuspicionsChanged()
	for _, e := range ended {
		t.observer.Ended(e.Run, e.at)
	}
	for _, q := range begun {
		t.observer.Quarantined(q)
	}
	for f := range released {
		t.observer.Released(f, own)
	}
}

// refused returns the requests that the last decision quarantined; t.mu is held.
func (t *Table) refused() map[Fingerprint]bool {
	all := map[Fingerprint]bool{}
	for f, s := range t.suspects {
		if s.quarantined {
			all[f] = true
		}
	}
	return all
}

func (t *Table) countActive() (n int64) {
	for _, s := range t.suspects {
		if s.active() {
			n++
		}
	}
	return n
}

// quarantined returns the quarantined requests as just decided; t.mu is held.
func (t *Table) quarantined() []Quarantine {
	var all []Quarantine
	for f, s := range t.suspects {
		if !s.quarantined {
			continue
		}
		ends := s.counted(none)
		q := Quarantine{Fingerprint: f, Own: ends[len(ends)-1].host == t.host}
		for _, e := range ends {
			q.Runs = append(q.Runs, e.Run)
		}
		all = append(all, q)
	}
	return all
}

// evict forgets the least suspected requests beyond maxSuspects; t.mu is held.
func (t *Table) evict() {
	for len(t.suspects) > maxSuspects {
		var least Fingerprint
		found := false
		for f, s := range t.suspects {
			if !found || s.lessThan(t.suspects[least]) {
				least, found = f, true
			}
		}
		delete(t.suspects, least)
	}
}

// lessThan orders suspects by the rounds against them, and then by their last end.
func (s *suspect) lessThan(o *suspect) bool {
	if a, b := rounds(s.counted(none)), rounds(o.counted(none)); a != b {
		return a < b
	}
	return s.lastEnd().Before(o.lastEnd())
}
