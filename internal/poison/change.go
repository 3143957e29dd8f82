package poison

import "time"

// Each change of a table applies the change, evicts suspects beyond the maximum, decides on
// quarantines and notifies the observer, in one step.

// add adds a termination to those of a request; t.mu is held. It reports whether something
// has changed.
func (t *Table) add(f Fingerprint, e *termination, firsthand bool) bool {
	s := t.suspects[f]
	if s == nil {
		s = &suspect{}
		t.suspects[f] = s
	}
	if !s.add(e) {
		return false
	}
	t.unreported = append(t.unreported, e)
	t.markChanged(s, firsthand)
	return true
}

// markChanged assigns the next sequence number to a change of a suspect; t.mu is held.
func (t *Table) markChanged(s *suspect, firsthand bool) {
	t.sequence++
	s.changed = t.sequence
	s.updateCounts()
	s.firsthand = s.firsthand || firsthand
	s.repeated = s.repeated || s.consecutiveCount > 1
}

// change applies a change, decides on quarantines if something has changed, and notifies the
// observer. own is set unless another host made the change first.
func (t *Table) change(own bool, apply func() bool) {
	t.mu.Lock()
	if !apply() {
		t.mu.Unlock()
		return
	}
	t.evict()
	before := t.quarantinedSet()
	decide(t.suspects)
	after := t.quarantined()
	var added []Quarantine
	for _, q := range after {
		if !before[q.Fingerprint] {
			q.Report = t.report(q.Fingerprint, time.Now())
			added = append(added, q)
		}
		delete(before, q.Fingerprint)
	}
	terminated := t.unreported
	t.unreported = nil
	t.active.Store(t.countActive())
	t.mu.Unlock()
	t.notify(terminated, added, before, own)
}

// notify notifies the observer of a change: new terminations, requests that are refused from
// now on, and requests that are no longer refused.
func (t *Table) notify(terminated []*termination, added []Quarantine, released map[Fingerprint]bool, own bool) {
	t.observer.SuspicionsChanged()
	for _, e := range terminated {
		t.observer.UpstreamTerminated(e.run, e.at)
	}
	for _, q := range added {
		t.observer.Quarantined(q)
	}
	for f := range released {
		t.observer.Released(f, own)
	}
}

// quarantinedSet returns the requests that the last decision quarantined; t.mu is held.
func (t *Table) quarantinedSet() map[Fingerprint]bool {
	all := map[Fingerprint]bool{}
	for f, s := range t.suspects {
		if s.quarantined {
			all[f] = true
		}
	}
	return all
}

// countActive returns the number of active suspects; t.mu is held.
func (t *Table) countActive() (n int64) {
	for _, s := range t.suspects {
		if s.active() {
			n++
		}
	}
	return n
}

// quarantined returns the requests that the last decision quarantined, with their details;
// t.mu is held.
func (t *Table) quarantined() []Quarantine {
	var all []Quarantine
	for f, s := range t.suspects {
		if !s.quarantined {
			continue
		}
		q := Quarantine{Fingerprint: f, Last: s.last}
		for _, e := range s.unclearedExcept(skipNone) {
			q.Runs = append(q.Runs, e.run)
			q.Own = q.Own || e.host == t.host
		}
		all = append(all, q)
	}
	return all
}

// evict removes the least suspected requests beyond maxSuspects; t.mu is held.
func (t *Table) evict() {
	for len(t.suspects) > maxSuspects {
		delete(t.suspects, t.lowest())
	}
}

// lowest returns the least suspected request; t.mu is held.
func (t *Table) lowest() (lowest Fingerprint) {
	found := false
	for f, s := range t.suspects {
		if !found || s.lessThan(t.suspects[lowest]) {
			lowest, found = f, true
		}
	}
	return lowest
}

// lessThan orders suspects by their number of consecutive terminations, and then by the
// time of their last termination.
func (s *suspect) lessThan(o *suspect) bool {
	if s.consecutiveCount != o.consecutiveCount {
		return s.consecutiveCount < o.consecutiveCount
	}
	return s.last.Before(o.last)
}
