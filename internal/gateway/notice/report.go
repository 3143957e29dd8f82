package notice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// maxReports bounds the number of reports in a heartbeat, and thereby its size: a
	// report has some 30 bytes.
	maxReports = 32
	// announcePeriod is how long a host reports a change to other hosts, each of which
	// receives several heartbeats in this time. announceInterval is how often a host
	// reports that a limit is still in force.
	announcePeriod   = 3 * time.Second
	announceInterval = 10 * time.Second
	// maxBackoffElsewhere bounds how long a reported backoff is used. The report may
	// arrive late, and the backoff does not bind this host.
	maxBackoffElsewhere = 10 * time.Second
	// echoMargin is by how much a report must be newer than the known state to replace
	// the state. The age in a report does not include the time in transit, so that a
	// host's own report looks newer when it returns by way of another host.
	echoMargin = 100 * time.Millisecond
)

// Report is the message of a host to other hosts about one run: that the run is
// leaving, that it requested a backoff from the sender, or its limit. It is part of the wire
// format.
type Report struct {
	Run     upstream.Run `msgpack:"u"`
	Leaving bool         `msgpack:"x,omitempty"`
	// BackoffMS is the remaining backoff, in milliseconds. Zero means that the report is not
	// about a backoff.
	BackoffMS int64 `msgpack:"r,omitempty"`
	// PerSecond is the limit, in requests per second. It is used only if Leaving,
	// BackoffMS and Ended are all unset.
	PerSecond float64 `msgpack:"l,omitempty"`
	Ended     bool    `msgpack:"e,omitempty"`
	// AgeMS is the time since the state was learned, in milliseconds.
	AgeMS int64 `msgpack:"a,omitempty"`
}

// Reports returns the reports to send to other hosts now, the most recent state first:
// recent changes and, every announceInterval, limits that are still in force. While
// nothing changes and no limit is in force, heartbeats carry no reports.
func (t *Table) Reports(now time.Time) []Report {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports(now, announcePeriod)
}

// reports returns reports of the state that was announced within a period, the most recent
// state first; t.mu is held.
func (t *Table) reports(now time.Time, period time.Duration) []Report {
	reports := make([]Report, 0, len(t.limits)+len(t.leaving)+len(t.backoffUntil))
	for run, l := range t.leaving {
		if age := now.Sub(l.learnedAt); age < period {
			reports = append(reports, Report{Run: run, Leaving: true, AgeMS: age.Milliseconds()})
		}
	}
	for run, until := range t.backoffUntil {
		if left := until.Sub(now).Milliseconds(); left > 0 {
			reports = append(reports, Report{Run: run, BackoffMS: left})
		}
	}
	for run, l := range t.limits {
		if now.Sub(l.announcedAt) >= period {
			continue
		}
		reports = append(reports, Report{Run: run, PerSecond: l.perSecond, Ended: l.ended, AgeMS: now.Sub(l.reportedAt).Milliseconds()})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Run, b.Run)) })
	return reports[:min(len(reports), maxReports)]
}

// InForce returns reports of all notices that are in force, the most recent state first.
func (t *Table) InForce(now time.Time) []Report {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports(now, math.MaxInt64)
}

// Merge applies the reports of another host. For each run's limit, the most recent report
// of the upstream wins.
func (t *Table) Merge(reports []Report, now time.Time) {
	for _, r := range reports {
		if r.Leaving {
			t.markLeaving(r.Run, now)
			continue
		}
		if r.BackoffMS > 0 {
			t.setBackoffElsewhere(r.Run, time.Duration(min(r.BackoffMS, maxBackoffElsewhere.Milliseconds()))*time.Millisecond, now)
			continue
		}
		t.mu.Lock()
		notify := t.mergeLimit(r, now)
		t.mu.Unlock()
		notify()
	}
}

// mergeLimit applies another host's report of a limit; t.mu is held. The caller calls
// notify after it has released t.mu.
func (t *Table) mergeLimit(r Report, now time.Time) (notify func()) {
	reportedAt := now.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)
	l := t.limits[r.Run]
	switch {
	case l != nil && reportedAt.Before(l.reportedAt.Add(echoMargin)), l == nil && r.Ended, !(r.PerSecond >= 0):
		return func() {}
	case !r.Ended:
		return t.put(r.Run, r.PerSecond, reportedAt, now)
	}
	alreadyEnded := l.ended
	l.end(reportedAt, now)
	if alreadyEnded {
		return func() {}
	}
	return func() { t.observer.LimitEnded(r.Run) }
}
