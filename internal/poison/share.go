package poison

import (
	"cmp"
	"slices"
	"time"
)

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
					changed = t.add(r.Fingerprint, e, now) || changed
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
