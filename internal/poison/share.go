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

// Scope determines which suspects an update has.
type Scope uint8

const (
	// All suspects.
	All Scope = iota
	// Firsthand suspects: those that this host saw itself or learned by MergeUpdate, and those
	// of Repeated.
	Firsthand
	// Repeated suspects: those that have terminated upstreams more than once.
	Repeated
)

// has reports whether a suspect is in the scope.
func (c Scope) has(s *suspect) bool {
	return c == All || s.repeated || c == Firsthand && s.firsthand
}

// UpdateFor returns an update with the changes that another host has not acknowledged. A lost
// message therefore loses no change, a host that has just started or was unreachable
// receives everything, and no reports are sent while nothing changes. A host that gets updates of
// a smaller scope must learn the other suspects from another host.
func (t *Table) UpdateFor(w Watermarks, now time.Time, c Scope) Update {
	reports, upTo := t.since(w.Acked, now, c)
	return Update{Reports: reports, UpTo: upTo, Acked: w.Merged}
}

// MergeUpdate merges an update of another host, and then returns the new watermarks. Until
// MergeUpdate has returned, no message may acknowledge the changes of the update. The suspects are
// Firsthand from now on.
//
// An update that the sender made for an earlier process of this host contains only what that
// process did not have. It is merged and not acknowledged, so that the sender's next update
// has everything.
func (t *Table) MergeUpdate(u Update, now time.Time) Watermarks {
	return t.mergeUpdate(u, now, true)
}

// MergeSecondhand is MergeUpdate for an update that other hosts receive as well. Its suspects do not
// become Firsthand.
func (t *Table) MergeSecondhand(u Update, now time.Time) Watermarks {
	return t.mergeUpdate(u, now, false)
}

func (t *Table) mergeUpdate(u Update, now time.Time, firsthand bool) Watermarks {
	t.mergeAll(u.Reports, now, firsthand)
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
func (t *Table) Merge(reports []Report, now time.Time) { t.mergeAll(reports, now, true) }

func (t *Table) mergeAll(reports []Report, now time.Time, firsthand bool) {
	if len(reports) == 0 {
		return
	}
	t.change(false, func() bool {
		changed := false
		for _, r := range reports {
			changed = t.merge(r, now, firsthand) || changed
		}
		return changed
	})
}

// merge adds the terminations of a report; t.mu is held. It reports whether something has
// changed. Not every request becomes a suspect (admits).
func (t *Table) merge(r Report, now time.Time, firsthand bool) (changed bool) {
	reported := &suspect{}
	for _, termination := range r.Terminations {
		if e, ok := termination.termination(now); ok {
			reported.terminations = append(reported.terminations, e)
		}
	}
	if t.suspects[r.Fingerprint] == nil && !t.admits(reported, now) {
		return false
	}
	for _, e := range reported.terminations {
		changed = t.add(r.Fingerprint, e, firsthand) || changed
	}
	return changed
}

// admits reports whether a request that another host suspects becomes a suspect here; t.mu is held.
//
// A full table admits only a request that is suspected more than the least suspected one, or clearly
// later. A termination seems later at each host that it is reported to, so that without
// maxReportDelay hosts would evict and report the same requests to each other without end.
//
// Neither that nor the rate of new suspects applies to a request with enough terminations to be
// quarantined: the sender does not report it again, and hundreds of quarantines may be read at a
// start.
func (t *Table) admits(s *suspect, now time.Time) bool {
	s.updateCounts()
	if s.unclearedCount >= quarantineThreshold || len(s.terminations) == 0 {
		return true
	}
	if len(t.suspects) >= maxSuspects {
		lowest := *t.suspects[t.lowest()]
		lowest.last = lowest.last.Add(maxReportDelay)
		if !lowest.lessThan(s) {
			return false
		}
	}
	return t.newSuspects.AllowN(now, 1)
}

// since returns the suspects of a scope that changed after a sequence number, the earliest change
// first and at most maxReports, and the number up to which the reports are complete. A
// number that this table has not returned is treated as one before the first change.
func (t *Table) since(sequence int64, now time.Time, c Scope) (reports []Report, upTo int64) {
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
		if s.changed > sequence && c.has(s) {
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
