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
	minBad     = 3
	goodPerBad = 1.5
	// firstEjection is how long an upstream is avoided at first; it doubles
	// each time that it is found bad again, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = 8 * time.Second
	// forgiveAfter is how long after an ejection the next counts as the
	// first again.
	forgiveAfter = 5 * time.Second
	// maxSuspects bounds the upstreams that a host tells the others of.
	maxSuspects = 32
)

// Suspect is what one host saw of an upstream in the last window.
type Suspect struct {
	Upstream string `msgpack:"u"`
	Bad      int    `msgpack:"b"`
	Good     int    `msgpack:"g,omitempty"`
}

// Finding is why an upstream is avoided.
type Finding struct {
	Upstream string
	Bad      int
	Good     int
	// Hosts is how many hosts saw something bad.
	Hosts int
	For   time.Duration
}

// Reporter is told what a judge comes to believe.
type Reporter interface {
	// Suspected says that there is something bad that other hosts should
	// learn of soon.
	Suspected()
	// Ejected says that an upstream is avoided from now on.
	Ejected(Finding)
}

// Judge keeps the evidence on all upstreams.
type Judge struct {
	report Reporter

	mu        sync.Mutex
	services  map[string]*usual
	upstreams map[string]*evidence
}

// evidence is what is known against and for one upstream.
type evidence struct {
	own    tally
	others map[string]told

	ejectedUntil time.Time
	pause        time.Duration
}

// told is what another host saw, and when it said so.
type told struct {
	bad, good int
	at        time.Time
}

// New makes a judge.
func New(report Reporter) *Judge {
	return &Judge{report: report, services: map[string]*usual{}, upstreams: map[string]*evidence{}}
}

// Patience is how long an answer of a service may take before it speaks
// against its upstream, for a load in the upstream's capacities; zero is not
// known yet.
func (j *Judge) Patience(service string, load float64) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	u := j.services[service]
	if u == nil {
		return 0
	}
	return u.patience(load)
}

// Good notes an answer that came in time.
func (j *Judge) Good(service, upstream string, took time.Duration, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.usual(service).add(took)
	j.evidence(upstream).own.add(now, 0, 1)
}

// Slow notes how long an answer took that came too late to be good, so that
// what is usual follows a service that has grown slow as a whole.
func (j *Judge) Slow(service string, took time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.usual(service).add(took)
}

// Bad notes a failure, or that an answer is overdue.
func (j *Judge) Bad(upstream string, now time.Time) {
	j.mu.Lock()
	e := j.evidence(upstream)
	e.own.add(now, 1, 0)
	finding, found := e.weigh(upstream, now)
	j.mu.Unlock()
	j.report.Suspected()
	if found {
		j.report.Ejected(finding)
	}
}

// Take takes over what another host saw.
func (j *Judge) Take(host string, suspects []Suspect, now time.Time) {
	var findings []Finding
	j.mu.Lock()
	for _, s := range suspects {
		e := j.evidence(s.Upstream)
		if now.Before(e.ejectedUntil) {
			continue // what led to the ejection must not count again after it
		}
		if e.others == nil {
			e.others = map[string]told{}
		}
		e.others[host] = told{bad: s.Bad, good: s.Good, at: now}
		if f, found := e.weigh(s.Upstream, now); found {
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
func (j *Judge) Suspects(now time.Time) []Suspect {
	j.mu.Lock()
	defer j.mu.Unlock()
	var suspects []Suspect
	for id, e := range j.upstreams {
		bad, good := e.own.count(now)
		if bad == 0 && (good == 0 || !e.suspected(now)) {
			continue
		}
		suspects = append(suspects, Suspect{Upstream: id, Bad: bad, Good: good})
		if len(suspects) == maxSuspects {
			break
		}
	}
	return suspects
}

// Ejected reports whether an upstream is to be avoided.
func (j *Judge) Ejected(upstream string, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.upstreams[upstream]
	return e != nil && now.Before(e.ejectedUntil)
}

// Keep forgets the upstreams that keep does not name.
func (j *Judge) Keep(keep func(id string) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range j.upstreams {
		if !keep(id) {
			delete(j.upstreams, id)
		}
	}
}

func (j *Judge) evidence(upstream string) *evidence {
	e := j.upstreams[upstream]
	if e == nil {
		e = &evidence{}
		j.upstreams[upstream] = e
	}
	return e
}

func (j *Judge) usual(service string) *usual {
	u := j.services[service]
	if u == nil {
		u = &usual{}
		j.services[service] = u
	}
	return u
}

// suspected reports whether another host saw something bad lately.
func (e *evidence) suspected(now time.Time) bool {
	for _, t := range e.others {
		if t.bad > 0 && now.Sub(t.at) < window {
			return true
		}
	}
	return false
}

// weigh adds all evidence up, and ejects the upstream when it speaks against
// it. What was seen before an ejection does not count again.
func (e *evidence) weigh(upstream string, now time.Time) (Finding, bool) {
	if now.Before(e.ejectedUntil) {
		return Finding{}, false
	}
	f := Finding{Upstream: upstream}
	f.Bad, f.Good = e.own.count(now)
	if f.Bad > 0 {
		f.Hosts = 1
	}
	for host, t := range e.others {
		if now.Sub(t.at) >= window {
			delete(e.others, host)
			continue
		}
		f.Bad += t.bad
		f.Good += t.good
		if t.bad > 0 {
			f.Hosts++
		}
	}
	if f.Bad < minBad || float64(f.Good) > goodPerBad*float64(f.Bad) {
		return Finding{}, false
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
	e.own = tally{}
	clear(e.others)
}

// tally counts ends in two halves of the window.
type tally struct {
	began             time.Time
	bad, good         int
	pastBad, pastGood int
}

// half is the length of one of a tally's halves.
const half = window / 2

func (t *tally) add(now time.Time, bad, good int) {
	t.advance(now)
	t.bad += bad
	t.good += good
}

func (t *tally) count(now time.Time) (bad, good int) {
	t.advance(now)
	return t.bad + t.pastBad, t.good + t.pastGood
}

func (t *tally) advance(now time.Time) {
	age := now.Sub(t.began)
	if age < half {
		return
	}
	t.pastBad, t.pastGood = t.bad, t.good
	if age >= window {
		t.pastBad, t.pastGood = 0, 0
	}
	t.bad, t.good, t.began = 0, 0, now
}
