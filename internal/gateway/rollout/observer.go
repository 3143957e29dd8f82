package rollout

import (
	"sync"
	"time"

	"cairndock/internal/gateway/upstream"
)

// Outcome is the outcome of an attempt at an upstream.
type Outcome uint8

const (
	// Answered is a response that does not report a failure of the upstream.
	Answered Outcome = iota
	// Failed is a failure of the upstream.
	Failed
	// Undecided is an attempt that ended for another reason.
	Undecided
	// Unanswered is a failure without a complete response. It counts as Failed, unless this
	// host had lost its path to all upstreams.
	Unanswered
)

// observer counts the attempts at the upstreams of one service.
type observer struct {
	mu       sync.Mutex
	order    Order
	evidence Evidence
	running  map[*Attempt]struct{}
	slow     thresholds
	// objects are the objects that this host has requested since the order.
	objects objects
	// lost reports whether this host has had no path to any upstream at some time since
	// then.
	lost func(since time.Time) bool
	// unanswered are attempts that do not count before it is known whether this host had
	// lost its path, and provenAt is when the last attempt that got a response was sent.
	unanswered []unanswered
	provenAt   time.Time
}

func newObserver(o Order) *observer {
	return &observer{order: o, evidence: newEvidence(), running: map[*Attempt]struct{}{}, objects: objects{}, lost: func(time.Time) bool { return false }}
}

// Attempt is an attempt that was sent to an upstream of a service with a roll-out. A nil
// attempt is not counted.
type Attempt struct {
	observer *observer
	route    string
	run      upstream.Run
	target   bool
	// comparable is set if the upstream was not cold.
	comparable bool
	kind       requestKind
	sentAt     time.Time
}

func (o *observer) start(route string, u *upstream.Upstream, comparable bool, now time.Time) *Attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.evidence.Routes[route]; !known && len(o.evidence.Routes) >= maxRoutes {
		route = otherRoutes
	}
	a := &Attempt{observer: o, route: route, run: u.Run(), target: u.SoftwareVersion == o.order.Target, comparable: comparable, sentAt: now}
	o.running[a] = struct{}{}
	o.change(a, func(c *Outcomes) { c.Sent++ })
	return a
}

// CountKey counts the attempt by the position of its request's key. It is called for the first
// attempt of a request only.
func (a *Attempt) CountKey(key string) {
	if a == nil {
		return
	}
	o := a.observer
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evidence.Positions[positionBucket(position(key, o.order.Version))]++
}

// change changes the counts of an attempt's route and version; o.mu is held.
func (o *observer) change(a *Attempt, f func(*Outcomes)) {
	r := o.evidence.Routes[a.route]
	if a.target {
		f(&r.Target)
	} else {
		f(&r.Others)
	}
	o.evidence.Routes[a.route] = r
}

// End records how the attempt ended. Only its first call counts.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	if a == nil {
		return
	}
	o := a.observer
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, running := o.running[a]; !running {
		return
	}
	delete(o.running, a)
	took := now.Sub(a.sentAt)
	switch {
	case outcome == Unanswered:
		o.addUnanswered(a, now)
		return
	case outcome != Undecided:
		o.provenAt = laterOf(o.provenAt, a.sentAt)
	case !o.isSlow(a, took) || o.lost(a.sentAt):
		return
	}
	o.count(a, outcome, took)
}

// count counts an attempt that ended; o.mu is held.
func (o *observer) count(a *Attempt, outcome Outcome, took time.Duration) {
	c := GroupOutcomes{Ended: 1}
	switch {
	case outcome == Failed:
		c.Failed = 1
	case a.comparable:
		c.Compared = 1
		if o.isSlow(a, took) {
			c.Slow = 1
		}
	}
	o.change(a, func(all *Outcomes) {
		all.add(c)
		if c.Compared > 0 {
			all.addLatency(took)
		}
	})
	if a.target {
		group := groupOf(a.run)
		o.evidence.Groups[group] = o.evidence.Groups[group].plus(c)
	}
}

// isSlow reports whether an attempt that took so long is slow; o.mu is held.
func (o *observer) isSlow(a *Attempt, took time.Duration) bool {
	threshold := o.threshold(a)
	return a.comparable && threshold > 0 && took >= threshold
}

// snapshot returns the evidence so far. Attempts that are still running count once they are
// slow, because a slow version would otherwise be noticed late.
func (o *observer) snapshot(now time.Time) Evidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resolveUnanswered(now)
	snapshot := o.evidence.clone()
	for a := range o.running {
		took := now.Sub(a.sentAt)
		if !o.isSlow(a, took) || o.lost(a.sentAt) {
			continue
		}
		slow := GroupOutcomes{Ended: 1, Compared: 1, Slow: 1}
		r := snapshot.Routes[a.route]
		if a.target {
			r.Target.add(slow)
			group := groupOf(a.run)
			snapshot.Groups[group] = snapshot.Groups[group].plus(slow)
		} else {
			r.Others.add(slow)
		}
		snapshot.Routes[a.route] = r
	}
	return snapshot
}

// setSlow sets the thresholds for slow responses.
func (o *observer) setSlow(slow thresholds) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slow = slow
}
