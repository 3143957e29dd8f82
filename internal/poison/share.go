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
//
// An update that the sender made for an earlier process of this host contains only what that
// process did not have. It is merged and not acknowledged, so that the sender's next update
// has everything.
func (t *Table) MergeUpdate(u Update, now time.Time) Watermarks {
	t.Merge(u.Reports, now)
	w := Watermarks{Acked: u.Acked}
	if t.isForThisProcess(u) {
		w.Merged = u.UpTo
	}
	return w
}

// isForThisProcess reports whether an update acknowledges no changes, or changes of this
// process and not of an earlier one.
func (t *Table) isForThisProcess(u Update) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return u.Acked == 0 || u.Acked >= t.first && u.Acked <= t.sequence
}

// Completes reports whether this table has all suspicions of the sender of an update once
// it has merged the update. It has not after an update for an earlier process of this host,
// or one that was cut at maxReports.
func (t *Table) Completes(u Update) bool { return t.isForThisProcess(u) && len(u.Reports) < maxReports }

// Merge adds the terminations that another host reports.
func (t *Table) Merge(reports []Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	t.change(false, func() bool {
		changed := false
		for _, r := range reports {
			changed = t.merge(r, now) || changed
		}
		return changed
	})
}

// merge adds the terminations of a report; t.mu is held. It reports whether something has
// changed. The rate of new suspects does not apply to a request with enough terminations to
// be quarantined: the sender does not report it again, and hundreds of quarantines may be
// read at a start.
func (t *Table) merge(r Report, now time.Time) (changed bool) {
	var terminations []*termination
	uncleared := 0
	for _, reported := range r.Terminations {
		if e, ok := reported.termination(now); ok {
			terminations = append(terminations, e)
			if !e.cleared {
				uncleared++
			}
		}
	}
	if t.suspects[r.Fingerprint] == nil && uncleared < quarantineThreshold && len(terminations) > 0 && !t.newSuspects.AllowN(now, 1) {
		return false
	}
	for _, e := range terminations {
		changed = t.add(r.Fingerprint, e) || changed
	}
	return changed
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
