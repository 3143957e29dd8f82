package outlier

import (
	"maps"
	"sync"
	"time"

	"cairndock/internal/gateway/upstream"
)

// maxObservations limits the number of upstreams in a list of observations, and
// thereby the size of a heartbeat.
const maxObservations = 32

// Reporter receives the events of a detector. Its methods are called without
// the detector's lock.
type Reporter interface {
	// FailureSeen is called when this host has observed a failure, which should
	// be sent to the other hosts before the next regular heartbeat.
	FailureSeen()
	// Ejected is called when an upstream is ejected because of the evidence of
	// the region.
	Ejected(Ejection)
}

// Detector counts failures and successes of all upstreams. It is safe for
// concurrent use.
type Detector struct {
	reporter Reporter

	mu        sync.Mutex
	baselines map[string]*latencyBaseline // by service
	upstreams map[upstream.Run]*state     // by run
}

// state is the state of one run of an upstream.
type state struct {
	evidence    evidence
	consecutive consecutive
}

// New returns a detector without any observations.
func New(reporter Reporter) *Detector {
	return &Detector{reporter: reporter, baselines: map[string]*latencyBaseline{}, upstreams: map[upstream.Run]*state{}}
}

// OverdueAfter returns the time after which a response of a service is overdue
// at an upstream with a load, as a multiple of the upstream's capacity. The
// result is zero while too few responses of the service have been recorded.
func (d *Detector) OverdueAfter(service string, load float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return overdueAfter(d.baseline(service).median, load)
}

// RecordSuccess records the latency of a response that was not overdue.
func (d *Detector) RecordSuccess(service string, run upstream.Run, latency time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.baseline(service).add(latency)
	d.state(run).evidence.own.add(now, 0, 1)
}

// RecordLatency records the latency of an overdue response, which has already
// been recorded as a failure. Without it the baseline would not follow a service
// that becomes slow as a whole.
func (d *Detector) RecordLatency(service string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.baseline(service).add(latency)
}

// RecordFailure records a failure or an overdue response of an upstream.
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

// RecordOutcome records the outcome of a request in this host's count of
// consecutive failures.
func (d *Detector) RecordOutcome(run upstream.Run, o Outcome, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(run).consecutive.record(o, now)
}

// RecordTermination records that a run of an upstream has terminated, as observed
// by this host or by another one. Otherwise each host would detect the termination
// only by failures of its own requests, and again after each backoff.
func (d *Detector) RecordTermination(run upstream.Run, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(run).consecutive.ejectedUntil = now.Add(terminatedBackoff)
}

// Merge adds the observations of another host. Each replaces the host's earlier
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

// Observations returns the counts that this host sends to the other hosts. They
// cover the upstreams at which this host observed failures, and the upstreams at
// which this host observed successes and another host observed failures.
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

// Ejected reports whether an upstream is ejected because of the evidence of the
// region or because of this host's consecutive failures.
func (d *Detector) Ejected(run upstream.Run, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.upstreams[run]
	return r != nil && (now.Before(r.evidence.ejectedUntil) || now.Before(r.consecutive.ejectedUntil))
}

// Suspended drops the observations from before the machine was suspended, because
// they are older than their timestamps indicate. Ejections remain in force and
// end later by the duration of the suspension.
func (d *Detector) Suspended(time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.upstreams {
		s.evidence.own = counter{}
		clear(s.evidence.peers)
	}
}

// DropOwn drops the failures and successes that this host observed, because the failures were
// those of its own network. Ejections remain in force.
func (d *Detector) DropOwn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.upstreams {
		s.evidence.own = counter{}
	}
}

// Retain drops the state of all runs for which keep returns false.
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
