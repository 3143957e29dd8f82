// Package health judges upstreams by what requests show: failures, and
// answers that take far longer than is usual for their service. Health checks
// are not asked, as they may be good while requests fail. A host of a large
// fleet sends too little to one upstream to judge it alone, so the hosts of a
// region tell each other what they saw.
package outlier

import (
	"sync"
	"time"
)

const (
	// window is the time over which evidence counts.
	window = 1600 * time.Millisecond
	// minBad is how many bad ends in a window speak against an upstream,
	// unless more than goodPerBad times as many went well.
	minFailures     = 3
	maxSuccessRatio = 1.5
	// firstEjection is how long an upstream is avoided at first; it doubles
	// each time that it is found bad again, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = 8 * time.Second
	// forgiveAfter is how long after an ejection the next counts as the
	// first again.
	forgiveAfter = 5 * time.Second
	// maxSuspects bounds the upstreams that a host tells the others of.
	maxObservations = 32
)

// Suspect is what one host saw of an upstream in the last window.
type Observation struct {
	Upstream  string `msgpack:"u"`
	Failures  int    `msgpack:"b"`
	Successes int    `msgpack:"g,omitempty"`
}

// Finding is why an upstream is avoided.
type Ejection struct {
	Upstream  string
	Failures  int
	Successes int
	// Hosts is how many hosts saw something bad.
	Hosts int
	For   time.Duration
}

// Reporter is told what a judge comes to believe.
type Reporter interface {
	// Suspected says that there is something bad that other hosts should
	// learn of soon.
	FailureSeen()
	// Ejected says that an upstream is avoided from now on.
	Ejected(Ejection)
}

// Judge keeps the evidence on all upstreams.
type Detector struct {
	report Reporter

	mu        sync.Mutex
	baselines map[string]*latencyBaseline
	upstreams map[string]*evidence
}

// evidence is what is known against and for one upstream.
type evidence struct {
	own         counter
	peers       map[string]peerReport
	consecutive consecutive

	ejectedUntil time.Time
	pause        time.Duration
}

// told is what another host saw, and when it said so.
type peerReport struct {
	failures, successes int
	at                  time.Time
}

// New makes a judge.
func New(report Reporter) *Detector {
	return &Detector{report: report, baselines: map[string]*latencyBaseline{}, upstreams: map[string]*evidence{}}
}

// Patience is how long an answer of a service may take before it speaks
// against its upstream, for a load in the upstream's capacities; zero is not
// known yet.
func (j *Detector) OverdueAfter(service string, load float64) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	u := j.baselines[service]
	if u == nil {
		return 0
	}
	return u.overdueAfter(load)
}

// Good notes an answer that came in time.
func (j *Detector) RecordSuccess(service, upstream string, took time.Duration, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.baseline(service).add(took)
	j.evidence(upstream).own.add(now, 0, 1)
}

// Slow notes how long an answer took that came too late to be good, so that
// what is usual follows a service that has grown slow as a whole.
func (j *Detector) RecordLatency(service string, took time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.baseline(service).add(took)
}

// Bad notes a failure, or that an answer is overdue.
func (j *Detector) RecordFailure(upstream string, now time.Time) {
	j.mu.Lock()
	e := j.evidence(upstream)
	e.own.add(now, 1, 0)
	finding, found := e.evaluate(upstream, now)
	j.mu.Unlock()
	j.report.FailureSeen()
	if found {
		j.report.Ejected(finding)
	}
}

// RecordOutcome notes how a request ended that was sent to an upstream, for
// this host's own count of failures in a row.
func (j *Detector) RecordOutcome(upstream string, o Outcome, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evidence(upstream).consecutive.record(o, now)
}

// Merge takes over what another host saw.
func (j *Detector) Merge(host string, suspects []Observation, now time.Time) {
	var findings []Ejection
	j.mu.Lock()
	for _, s := range suspects {
		e := j.evidence(s.Upstream)
		if now.Before(e.ejectedUntil) {
			continue // what led to the ejection must not count again after it
		}
		if e.peers == nil {
			e.peers = map[string]peerReport{}
		}
		e.peers[host] = peerReport{failures: s.Failures, successes: s.Successes, at: now}
		if f, found := e.evaluate(s.Upstream, now); found {
			findings = append(findings, f)
		}
	}
	j.mu.Unlock()
	for _, f := range findings {
		j.report.Ejected(f)
	}
}

// Suspects gives what the host tells the others: the upstreams at which it
// saw something bad, and those that others suspect and it found good.
func (j *Detector) Observations(now time.Time) []Observation {
	j.mu.Lock()
	defer j.mu.Unlock()
	var suspects []Observation
	for id, e := range j.upstreams {
		bad, good := e.own.count(now)
		if bad == 0 && (good == 0 || !e.failingAtPeer(now)) {
			continue
		}
		suspects = append(suspects, Observation{Upstream: id, Failures: bad, Successes: good})
		if len(suspects) == maxObservations {
			break
		}
	}
	return suspects
}

// Ejected reports whether an upstream is to be avoided.
func (j *Detector) Ejected(upstream string, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.upstreams[upstream]
	return e != nil && (now.Before(e.ejectedUntil) || now.Before(e.consecutive.ejectedUntil))
}

// Keep forgets the upstreams that keep does not name.
func (j *Detector) Retain(keep func(id string) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range j.upstreams {
		if !keep(id) {
			delete(j.upstreams, id)
		}
	}
}

func (j *Detector) evidence(upstream string) *evidence {
	e := j.upstreams[upstream]
	if e == nil {
		e = &evidence{}
		j.upstreams[upstream] = e
	}
	return e
}

func (j *Detector) baseline(service string) *latencyBaseline {
	u := j.baselines[service]
	if u == nil {
		u = &latencyBaseline{}
		j.baselines[service] = u
	}
	return u
}

// suspected reports whether another host saw something bad lately.
func (e *evidence) failingAtPeer(now time.Time) bool {
	for _, t := range e.peers {
		if t.failures > 0 && now.Sub(t.at) < window {
			return true
		}
	}
	return false
}

// weigh adds all evidence up, and ejects the upstream when it speaks against
// it. What was seen before an ejection does not count again.
func (e *evidence) evaluate(upstream string, now time.Time) (Ejection, bool) {
	if now.Before(e.ejectedUntil) {
		return Ejection{}, false
	}
	f := Ejection{Upstream: upstream}
	f.Failures, f.Successes = e.own.count(now)
	if f.Failures > 0 {
		f.Hosts = 1
	}
	for host, t := range e.peers {
		if now.Sub(t.at) >= window {
			delete(e.peers, host)
			continue
		}
		f.Failures += t.failures
		f.Successes += t.successes
		if t.failures > 0 {
			f.Hosts++
		}
	}
	if f.Failures < minFailures || float64(f.Successes) > maxSuccessRatio*float64(f.Failures) {
		return Ejection{}, false
	}
	e.eject(now)
	f.For = e.pause
	return f, true
}

func (e *evidence) eject(now time.Time) {
	if e.pause == 0 || now.Sub(e.ejectedUntil) >= forgiveAfter {
		e.pause = firstEjection
	} else {
		e.pause = min(2*e.pause, maxEjection)
	}
	e.ejectedUntil = now.Add(e.pause)
	e.own = counter{}
	clear(e.peers)
}

// tally counts ends in two halves of the window.
type counter struct {
	began                       time.Time
	failures, successes         int
	pastFailures, pastSuccesses int
}

// half is the length of one of a tally's halves.
const halfWindow = window / 2

func (t *counter) add(now time.Time, bad, good int) {
	t.advance(now)
	t.failures += bad
	t.successes += good
}

func (t *counter) count(now time.Time) (bad, good int) {
	t.advance(now)
	return t.failures + t.pastFailures, t.successes + t.pastSuccesses
}

func (t *counter) advance(now time.Time) {
	age := now.Sub(t.began)
	if age < halfWindow {
		return
	}
	t.pastFailures, t.pastSuccesses = t.failures, t.successes
	if age >= window {
		t.pastFailures, t.pastSuccesses = 0, 0
	}
	t.failures, t.successes, t.began = 0, 0, now
}
