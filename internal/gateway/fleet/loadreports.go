package fleet

import (
	"fmt"
	"sync"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
)

// Hosts of a zone share the load reports that they receive from upstreams, so that each of
// them knows the load of an upstream that it rarely sends to. The reports are added to the
// heartbeats that these hosts exchange anyway. Each host sends only reports that it received
// itself, because it exchanges heartbeats with all hosts of its zone.

// Loads are the load reports of upstreams as this host knows them.
type Loads interface {
	// LoadReports returns the newest reports that this host itself received from upstreams
	// within maxAge, the latest first.
	LoadReports(maxAge time.Duration, now time.Time) []balance.LoadReport
	// MergeLoadReports records reports that another host received.
	MergeLoadReports(reports []balance.LoadReport, now time.Time)
	// RunByKey returns the run of an existing upstream by its RunKey.
	RunByKey(key uint64, now time.Time) (upstream.Run, bool)
}

// Metrics counts events and observes durations. *telemetry.Metrics implements it.
type Metrics interface {
	Add(name string, n int)
	Observe(name string, seconds float64)
}

const (
	// loadSnapshotTTL is how long a snapshot of this host's reports is used. A host of a
	// large zone sends many heartbeats in this time. The ages of reports include the age of
	// the snapshot.
	loadSnapshotTTL = 100 * time.Millisecond
	// dropLogInterval is the minimum time between two log lines about reports that were
	// dropped for the same reason.
	dropLogInterval = time.Minute
)

// dropReason is why load reports were not sent or not used. It is a label of a metric.
type dropReason string

const (
	// dropCount: more than maxLoadReports were received since the last exchange.
	dropCount dropReason = "count"
	// dropInvalid: a message cannot be decoded or exceeds the bounds. It counts as one report.
	dropInvalid dropReason = "invalid"
	// dropZone: the sender is of another zone.
	dropZone dropReason = "zone"
	// dropAge: the age is above maxLoadReportAge.
	dropAge dropReason = "age"
	// dropRun: no upstream that may receive requests has the run. It is not logged, because
	// hosts learn at different times that an upstream started or ended.
	dropRun dropReason = "run"
)

// dropDetails describe the bounds in the log. The detail of dropInvalid is the error.
var dropDetails = map[dropReason]string{
	dropCount: fmt.Sprintf("not sent: more than %d reports since the last heartbeat", maxLoadReports),
	dropZone:  "received from another zone",
	dropAge:   fmt.Sprintf("received with an age above %s", maxLoadReportAge),
}

// loadSharing is the state of a host that shares load reports.
type loadSharing struct {
	// collecting is held while a snapshot is taken, so that heartbeats that are due at the
	// same time share one. mu is not held then, because Fleet.Suspended may be called.
	collecting sync.Mutex

	mu sync.Mutex
	// snapshot is the last snapshot of this host's reports; nil if it must not be used.
	snapshot *loadSnapshot
	// resets counts the calls of reset.
	resets int
	// drops has the reports that were dropped and not logged yet, by reason.
	drops map[dropReason]drops
}

// drops are reports that were dropped for one reason.
type drops struct {
	// unlogged is the number of reports since the last log line, which was written at
	// loggedAt.
	unlogged int
	loggedAt time.Time
}

// reset makes the next call of current take a new snapshot.
func (s *loadSharing) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = nil
	s.resets++
}

// last returns the last snapshot; nil if it is older than loadSnapshotTTL.
func (s *loadSharing) last(now time.Time) (snapshot *loadSnapshot, resets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil || now.Sub(s.snapshot.at) >= loadSnapshotTTL {
		return nil, s.resets
	}
	return s.snapshot, s.resets
}

// current returns a snapshot of this host's reports that is at most loadSnapshotTTL old.
func (s *loadSharing) current(loads Loads, now time.Time) *loadSnapshot {
	if snapshot, _ := s.last(now); snapshot != nil {
		return snapshot
	}
	s.collecting.Lock()
	defer s.collecting.Unlock()
	snapshot, resets := s.last(now)
	if snapshot != nil {
		return snapshot
	}
	snapshot = newLoadSnapshot(loads.LoadReports(loadReportWindow, now), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if resets == s.resets { // otherwise ages may be from before a suspension
		s.snapshot = snapshot
	}
	return snapshot
}

// drop counts dropped reports. It returns how many to log, which is zero except for the
// first call in each dropLogInterval.
func (s *loadSharing) drop(reason dropReason, count int, now time.Time) (log int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drops == nil {
		s.drops = map[dropReason]drops{}
	}
	d := s.drops[reason]
	d.unlogged += count
	if !d.loggedAt.IsZero() && now.Sub(d.loggedAt) < dropLogInterval {
		s.drops[reason] = d
		return 0
	}
	s.drops[reason] = drops{loggedAt: now}
	return d.unlogged
}

// sentLoads describes the reports in one heartbeat.
type sentLoads struct {
	// upTo is when the reports were collected; zero if the heartbeat has none.
	upTo time.Time
	// count is the number of reports, and cut the number of reports that exceeded
	// maxLoadReports.
	count, cut int
}

// withLoads adds to a heartbeat the load reports that its receiver does not have yet, if the
// receiver is of the same zone.
func (f *Fleet) withLoads(b heartbeat, to Host, now time.Time) (heartbeat, sentLoads) {
	if f.options.Loads == nil || to.Zone != f.options.Self.Zone {
		return b, sentLoads{}
	}
	var after time.Time
	f.mu.Lock()
	if p := f.members.peers[to.Name]; p != nil {
		after = p.loadsUpTo
	}
	f.mu.Unlock()
	snapshot := f.loads.current(f.options.Loads, now)
	sent := sentLoads{upTo: snapshot.at}
	b.Loads, sent.count, sent.cut = snapshot.since(after, now)
	return b, sent
}

// recordSentLoads records that a heartbeat with load reports reached a peer. Without it, the
// next heartbeat has these reports again.
func (f *Fleet) recordSentLoads(to string, sent sentLoads) {
	if sent.count == 0 {
		return
	}
	f.mu.Lock()
	if p := f.members.peers[to]; p != nil && sent.upTo.After(p.loadsUpTo) {
		p.loadsUpTo = sent.upTo
	}
	f.mu.Unlock()
	f.options.Metrics.Add("cairndock_load_reports_sent_total", sent.count)
	f.dropLoads(to, dropCount, sent.cut, nil)
}

// mergeLoads merges the load reports of a received heartbeat. Reports that are not valid are
// dropped, and the others and the rest of the heartbeat are used.
func (f *Fleet) mergeLoads(b heartbeat, now time.Time) {
	if f.options.Loads == nil || len(b.Loads) == 0 {
		return
	}
	count, received, err := decodeLoadReports(b.Loads)
	switch {
	case err != nil:
		f.dropLoads(b.Host.Name, dropInvalid, 1, err)
		return
	case b.Host.Zone != f.options.Self.Zone:
		f.dropLoads(b.Host.Name, dropZone, count, nil)
		return
	}
	f.options.Metrics.Add("cairndock_load_reports_received_total", count)
	reports := make([]balance.LoadReport, 0, count)
	tooOld, unknown := 0, 0
	for r := range received {
		if r.age > maxLoadReportAge {
			tooOld++
			continue
		}
		run, ok := f.options.Loads.RunByKey(r.key, now)
		if !ok {
			unknown++
			continue
		}
		reports = append(reports, balance.LoadReport{Run: run, Requests: r.requests, Age: r.age})
		f.options.Metrics.Observe("cairndock_load_report_merge_age_seconds", r.age.Seconds())
	}
	f.dropLoads(b.Host.Name, dropAge, tooOld, nil)
	f.dropLoads(b.Host.Name, dropRun, unknown, nil)
	f.options.Loads.MergeLoadReports(reports, now)
}

// dropLoads counts reports that were not sent to a peer or not used, and logs them at most
// every dropLogInterval. The error is nil unless the reports could not be decoded.
func (f *Fleet) dropLoads(peer string, reason dropReason, count int, err error) {
	if count == 0 {
		return
	}
	f.options.Metrics.Add(`cairndock_load_reports_dropped_total{reason="`+string(reason)+`"}`, count)
	if reason == dropRun {
		return
	}
	detail := dropDetails[reason]
	if err != nil {
		detail = err.Error()
	}
	if unlogged := f.loads.drop(reason, count, time.Now()); unlogged > 0 {
		f.options.Report.LoadReportsDropped(peer, detail, unlogged)
	}
}
