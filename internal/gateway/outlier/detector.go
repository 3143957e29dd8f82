package outlier

import (
	"maps"
	"sync"
	"time"

	"cairndock/internal/gateway/upstream"
)

// maxObservations bounds the upstreams in one list of observations, and so the
// size of a heartbeat.
const maxObservations = 32

// Reporter is notified of what a detector finds. Its methods are called
// without the detector's lock.
type Reporter interface {
	// FailureSeen means that this host saw a failure, which the other hosts
	// should learn of before the next regular heartbeat.
	FailureSeen()
	// Ejected means that the region's evidence ejects an upstream from now on.
	Ejected(Ejection)
}

// Detector keeps the counts of all upstreams. It is safe for concurrent use.
type Detector struct {
	reporter Reporter

	mu        sync.Mutex
	baselines map[string]*latencyBaseline // by service
	upstreams map[upstream.Run]*state     // by run
}

// state is what is known of one run of an upstream.
type state struct {
	evidence    evidence
	consecutive consecutive
}

// New makes a detector that knows nothing yet.
func New(reporter Reporter) *Detector {
	return &Detector{reporter: reporter, baselines: map[string]*latencyBaseline{}, upstreams: map[upstream.Run]*state{}}
}

// OverdueAfter returns how long a service's response may take before it is
// overdue, at an upstream with a load in its capacities. It is zero while too
// few responses of the service were seen.
func (d *Detector) OverdueAfter(service string, load float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return overdueAfter(d.baseline(service).median, load)
}

// RecordSuccess records a response that came in time.
func (d *Detector) RecordSuccess(service string, run upstream.Run, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.baseline(service).add(took)
	d.state(run).evidence.own.add(now, 0, 1)
}

// RecordLatency records how long an overdue response took, which was a failure
// already: the baseline has to follow a service that grew slow as a whole.
func (d *Detector) RecordLatency(service string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.baseline(service).add(took)
}

// RecordFailure records a failure of the upstream, or that its response is
// overdue.
func (d *Detector) RecordFailure(run upstream.Run, now time.Time) {
	d.mu.Lock()
	e := &d.state(run).evidence
	e.own.add(now, 1, 0)
	ejection, ejected := e.evaluate(run, now)
	d.mu.Unlock()
	d.reporter.FailureSeen()
	if ejected {
		d.reporter.Ejected(ejection)
	}
}

// RecordOutcome records how a request ended, for this host's count of
// consecutive failures.
func (d *Detector) RecordOutcome(run upstream.Run, o Outcome, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(run).consecutive.record(o, now)
}

// RecordEnded records that a run of an upstream has ended, as this host or another saw.
// Each host would otherwise learn it by requests of its own, and again after each
// back-off.
func (d *Detector) RecordEnded(run upstream.Run, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(run).consecutive.ejectedUntil = now.Add(endedFor)
}

// Merge adds what another host observed; it replaces that host's earlier
// observation of the same upstream.
func (d *Detector) Merge(host string, observations []Observation, now time.Time) {
	var ejections []Ejection
	d.mu.Lock()
	for _, o := range observations {
		e := &d.state(o.Upstream).evidence
		e.merge(host, o, now)
		if ejection, ejected := e.evaluate(o.Upstream, now); ejected {
			ejections = append(ejections, ejection)
		}
	}
	d.mu.Unlock()
	for _, e := range ejections {
		d.reporter.Ejected(e)
	}
}

// Observations returns what this host sends to the others: its counts at the
// upstreams at which it saw failures, or successes where another host saw
// failures.
func (d *Detector) Observations(now time.Time) []Observation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var observations []Observation
	for run, r := range d.upstreams {
		failures, successes := r.evidence.own.count(now)
		if failures == 0 && (successes == 0 || !r.evidence.failingAtPeer(now)) {
			continue
		}
		observations = append(observations, Observation{Upstream: run, Failures: failures, Successes: successes})
		if len(observations) == maxObservations {
			break
		}
	}
	return observations
}

// Ejected reports whether an upstream is ejected, by either count.
func (d *Detector) Ejected(run upstream.Run, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.upstreams[run]
	return r != nil && (now.Before(r.evidence.ejectedUntil) || now.Before(r.consecutive.ejectedUntil))
}

// Suspended forgets what was observed before the machine was suspended: it is older
// than its times say. Ejections stay, and end later.
func (d *Detector) Suspended(time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.upstreams {
		s.evidence.own = counter{}
		clear(s.evidence.peers)
	}
}

// Retain drops the records of the runs that keep rejects.
func (d *Detector) Retain(keep func(upstream.Run) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.upstreams, func(run upstream.Run, _ *state) bool { return !keep(run) })
}

func (d *Detector) state(run upstream.Run) *state {
	r := d.upstreams[run]
	if r == nil {
		r = &state{}
		d.upstreams[run] = r
	}
	return r
}

func (d *Detector) baseline(service string) *latencyBaseline {
	b := d.baselines[service]
	if b == nil {
		b = &latencyBaseline{}
		d.baselines[service] = b
	}
	return b
}
