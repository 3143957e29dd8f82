package notice

import (
	"cmp"
	"slices"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// maxReports bounds the reports in a heartbeat, and so its size: some 30 bytes each.
	maxReports = 32
	// newsFor is for how long a host tells others what is new, each of which gets several
	// heartbeats meanwhile, and newsEvery how often it tells that a limit is still there.
	newsFor   = 3 * time.Second
	newsEvery = 10 * time.Second
	// mostRestElsewhere bounds for how long a report of a rest counts: it may come late, and
	// the rest is not this host's.
	mostRestElsewhere = 10 * time.Second
	// echoWithin is by how much a report must be newer than what is known: one's own
	// comes back with the time that it took on the way.
	echoWithin = 100 * time.Millisecond
)

// Report is what a host tells others of a run: that it leaves, that it wants none of the
// host for a time, or its limit. It is on the wire.
type Report struct {
	Run     upstream.Run `msgpack:"u"`
	Leaving bool         `msgpack:"x,omitempty"`
	// RestMS is for how much longer it rests, in milliseconds; zero is another report.
	RestMS int64 `msgpack:"r,omitempty"`
	// PerSecond is the limit, in requests a second; it counts in no other report, and not
	// if Ended is set.
	PerSecond float64 `msgpack:"l,omitempty"`
	Ended     bool    `msgpack:"e,omitempty"`
	// AgeMS is how long ago it was heard, in milliseconds.
	AgeMS int64 `msgpack:"a,omitempty"`
}

// Reports returns what other hosts are told now: what is new, and now and then that a limit
// is still there; what was heard last, first. In calm times it costs heartbeats nothing.
func (t *Table) Reports(now time.Time) []Report {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]Report, 0, len(t.limits)+len(t.leaving)+len(t.restsUntil))
	for run, l := range t.leaving {
		if age := now.Sub(l.told); age < newsFor {
			reports = append(reports, Report{Run: run, Leaving: true, AgeMS: age.Milliseconds()})
		}
	}
	for run, until := range t.restsUntil {
		if left := until.Sub(now).Milliseconds(); left > 0 {
			reports = append(reports, Report{Run: run, RestMS: left})
		}
	}
	for run, l := range t.limits {
		if now.Sub(l.news) >= newsFor {
			continue
		}
		reports = append(reports, Report{Run: run, PerSecond: l.perSecond, Ended: l.ended, AgeMS: now.Sub(l.heard).Milliseconds()})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Run, b.Run)) })
	return reports[:min(len(reports), maxReports)]
}

// Merge takes another host's reports: of each run what was heard last counts.
func (t *Table) Merge(reports []Report, now time.Time) {
	for _, r := range reports {
		if r.Leaving {
			t.leave(r.Run, now)
			continue
		}
		if r.RestMS > 0 {
			t.restElsewhere(r.Run, time.Duration(min(r.RestMS, mostRestElsewhere.Milliseconds()))*time.Millisecond, now)
			continue
		}
		t.mu.Lock()
		report := t.mergeLimit(r, now)
		t.mu.Unlock()
		report()
	}
}

func (t *Table) mergeLimit(r Report, now time.Time) (report func()) {
	heard := now.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)
	l := t.limits[r.Run]
	switch {
	case l != nil && heard.Before(l.heard.Add(echoWithin)), l == nil && r.Ended, !(r.PerSecond >= 0):
		return func() {}
	case !r.Ended:
		return t.put(r.Run, r.PerSecond, heard, now)
	}
	was := l.ended
	l.end(heard, now)
	if was {
		return func() {}
	}
	return func() { t.reporter.LimitEnded(r.Run) }
}
