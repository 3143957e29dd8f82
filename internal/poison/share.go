package poison

import (
	"cmp"
	"slices"
	"time"
)

// Update has the changes of suspicions that one host sends another (msgpack).
type Update struct {
	// Reports are the sender's changes that the receiver does not have yet, up to the
	// sequence number UpTo.
	Reports []Report `msgpack:"p,omitempty"`
	UpTo    int64    `msgpack:"u,omitempty"`
	// Acked is the sequence number up to which the sender has the receiver's changes.
	Acked int64 `msgpack:"x,omitempty"`
}

// Watermarks are the sequence numbers up to which two hosts have each other's changes; zero is
// none.
type Watermarks struct {
	// Acked is the number up to which the other host has acknowledged this host's changes.
	// Merged is the number up to which this host has merged the other host's changes.
	Acked, Merged int64
}

// UpdateFor returns an update with the changes that another host has not acknowledged. A lost
// message therefore loses no change, a host that has just started or was unreachable
// receives everything, and no reports are sent while nothing changes.
func (t *Table) UpdateFor(w Watermarks, now time.Time) Update {
	reports, upTo := t.Since(w.Acked, now)
	return Update{Reports: reports, UpTo: upTo, Acked: w.Merged}
}

// MergeUpdate merges an update of another host, and then returns the new watermarks. Until
// MergeUpdate has returned, no message may acknowledge the changes of the update.
func (t *Table) MergeUpdate(u Update, now time.Time) Watermarks {
	t.Merge(u.Reports, now)
	return Watermarks{Acked: u.Acked, Merged: u.UpTo}
}

// Merge adds the terminations that another host reports.
func (t *Table) Merge(reports []Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	t.change(false, func() bool {
		changed := false
		for _, r := range reports {
			for _, reported := range r.Terminations {
				if e, ok := reported.termination(now); ok {
					changed = t.add(r.Fingerprint, e, now) || changed
				}
			}
		}
		return changed
	})
}

// Since returns the suspects that changed after a sequence number, the earliest change
// first and at most maxReports, and the number up to which the reports are complete. A
// number that this table has not returned is treated as one before the first change.
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

// report returns the terminations of a suspect; t.mu is held.
func (t *Table) report(f Fingerprint, now time.Time) Report {
	r := Report{Fingerprint: f}
	for _, e := range t.suspects[f].terminations {
		r.Terminations = append(r.Terminations, e.report(now))
	}
	return r
}
