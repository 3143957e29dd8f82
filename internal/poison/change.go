package poison

import "time"

// Each change of a table is made, bounded, decided on and told in one step.

// add adds an end to a request's, as learned at a time; t.mu is held.
func (t *Table) add(f Fingerprint, e *end, now time.Time) bool {
	s := t.suspects[f]
	if s == nil {
		if !t.newSuspects.AllowN(now, 1) {
			return false
		}
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
	s.sum()
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
		t.observer.Ended(e.run, e.at)
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
			q.Runs = append(q.Runs, e.run)
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

// lessThan orders suspects by the upstreams that they ended in turn, and then by their
// last end.
func (s *suspect) lessThan(o *suspect) bool {
	if s.inTurn != o.inTurn {
		return s.inTurn < o.inTurn
	}
	return s.last.Before(o.last)
}
