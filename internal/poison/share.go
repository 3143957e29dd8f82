package poison

import (
	"cmp"
	"slices"
	"time"
)

// News is what one host sends another of its suspicions (msgpack).
type News struct {
	// Reports are the sender's changes after those that the receiver has, up to the
	// number UpTo.
	Reports []Report `msgpack:"p,omitempty"`
	UpTo    int64    `msgpack:"u,omitempty"`
	// Has is up to which the sender has the receiver's changes.
	Has int64 `msgpack:"x,omitempty"`
}

// Marks are how far two hosts have each other's changes; zero is none.
type Marks struct {
	// Has is what the other says to have of this host's, and Merged what this host has
	// of the other's.
	Has, Merged int64
}

// News returns what another host does not have yet, by its own words: nothing is lost
// with a message, a host that has just started or was cut off gets all, and nothing is
// sent while nothing changes.
func (t *Table) News(m Marks, now time.Time) News {
	reports, upTo := t.Since(m.Has, now)
	return News{Reports: reports, UpTo: upTo, Has: m.Merged}
}

// Take merges what another host sent, and then returns how far the two are. A message
// that is made before it returns must not claim more.
func (t *Table) Take(n News, now time.Time) Marks {
	t.Merge(n.Reports, now)
	return Marks{Has: n.Has, Merged: n.UpTo}
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
