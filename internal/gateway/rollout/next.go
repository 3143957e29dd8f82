package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// minCanaryPart and maxCanaryPart are the least and the largest part of the budget of a
	// bad version that the canary uses. The rest is for the ramp and the shift, in which a
	// version may still turn bad.
	minCanaryPart = 0.2
	maxCanaryPart = 0.4
	// maxCanaryFraction bounds the canary's fraction where few requests come, of which
	// the slack would allow all.
	maxCanaryFraction = 0.25
	// rampFraction is the fraction of the requests that the target gets in the ramp. A
	// target that is only bad under load shows it then.
	rampFraction = 0.25
	// observeDelay is the time from a response to the moment at which all hosts have
	// reacted to it: reports up the tree, a decision, and a change down the tree.
	observeDelay = 600 * time.Millisecond
	// loadTime is how long the ramp lasts at least, so that the requests of its fraction add
	// up to the usual load.
	loadTime = time.Second
	// finishMargin is the time that is left for the last write before the end.
	finishMargin = 1500 * time.Millisecond
	// minCanaryTime is the part of the duration that the canary gets at least, however long
	// requests take.
	minCanaryTime = 0.5
	// adjustInterval is the minimum time between two changes of the canary's fraction.
	adjustInterval = 2 * time.Second
	// adjustFactor is by how much the measured fraction may differ from the intended one.
	// Keys differ in how often they are requested, so that a fraction of the keys gets a
	// different fraction of the requests.
	adjustFactor = 1.5
	// minAdjustment is the least change of the fraction that is worth a write, as a part of
	// the fraction.
	minAdjustment = 0.1
	// minAdjustRequests is the number of requests that are needed to measure it.
	minAdjustRequests = 100
	// capacityReserve is the part of the target's capacity that stays free when the
	// target gets all requests.
	capacityReserve = 0.15
)

// Situation is the input of a decision about a roll-out.
type Situation struct {
	Record Record
	// Withdrawn is set once the operator has deleted the order.
	Withdrawn bool
	// Now is the time by the store's clock, in milliseconds.
	Now      int64
	Evidence Evidence
	Finding  Finding
	// Drained is set when all hosts have confirmed, for this revision of the record, that
	// no request is in flight at other versions and that they send none there.
	Drained bool
	// Target and Others are the upstreams that may get requests.
	Target, Others Upstreams
	// MaxRequest is the longest time that a request of the service's routes may take;
	// zero if it is not bounded.
	MaxRequest time.Duration
	Limits     Limits
}

// Upstreams sums up upstreams.
type Upstreams struct {
	// Count is the number of upstreams, and Capacity the number of requests that those
	// that are not cold process concurrently.
	Count, Capacity int
	// Versions are their versions, sorted.
	Versions []string
}

// Next returns the record that follows in a situation, and false if nothing changes.
func Next(s Situation) (Record, bool) {
	r := s.Record
	switch {
	case r.Phase.Final():
		return r, false
	case s.Withdrawn:
		return r.WithPhase(RolledBack, "the order was withdrawn", s.Now), true
	case s.Finding.Bad:
		return r.WithPhase(RolledBack, s.Finding.Reason, s.Now), true
	}
	switch r.Phase {
	case Ramp:
		return s.ramp()
	case Shift:
		return s.shift()
	default:
		return s.canary()
	}
}

// canary decides in the phase Canary.
func (s Situation) canary() (Record, bool) {
	elapsed := after(s.Record.StartedAt, s.Now)
	if s.Others.Count == 0 && s.Target.Count > 0 {
		return s.Record.WithPhase(Shift, "no other version has upstreams", s.Now), true
	}
	if elapsed < s.rampAfter() {
		return s.adjust()
	}
	if missing := s.missing(); missing != "" {
		if elapsed >= s.Record.Duration {
			return s.Record.WithPhase(RolledBack, missing, s.Now), true
		}
		return s.adjust()
	}
	next := s.Record.WithPhase(Ramp, s.summary(), s.Now)
	next.Fraction, next.Requests = rampFraction, 0
	if s.knowsPositions() {
		next.Fraction, next.Requests = s.Evidence.Positions.fractionFor(rampFraction), rampFraction
	}
	return next, true
}

// missing returns what the target lacks for all requests of the service, or an empty text.
func (s Situation) missing() string {
	if s.Target.Count == 0 {
		return "no upstream of the version is registered"
	}
	if needed := s.needed(); float64(s.Target.Capacity)*(1-capacityReserve) < needed {
		return fmt.Sprintf("the version's upstreams process %d requests at a time, and %.0f are in flight", s.Target.Capacity, needed)
	}
	return ""
}

// needed returns the number of requests in flight at the service, by Little's law.
func (s Situation) needed() float64 {
	elapsed := after(s.Record.StartedAt, s.Now).Seconds()
	all := s.Evidence.total()
	if elapsed <= 0 {
		return 0
	}
	return float64(all.Target.Sent+all.Others.Sent) / elapsed * all.Others.Latency.quantile(0.5).Seconds()
}

// ramp decides in the phase Ramp, which lasts until the responses of its requests were
// observed.
func (s Situation) ramp() (Record, bool) {
	if after(s.Record.ChangedAt, s.Now) < s.rampTime() {
		return s.Record, false
	}
	return s.Record.WithPhase(Shift, s.summary(), s.Now), true
}

// shift decides in the phase Shift.
func (s Situation) shift() (Record, bool) {
	// Once a roll-out has succeeded there is no way back, so that responses under the whole
	// load are observed first.
	if !s.Drained || after(s.Record.ChangedAt, s.Now) < s.proofTime() {
		return s.Record, false
	}
	return s.Record.WithPhase(Succeeded, s.summary(), s.Now).WithReplaced(s.Others.Versions), true
}

// rampAfter returns the time after the order at which the canary ends: as late as the
// duration allows, because a version may turn bad at any time, and the requests that it
// gets until then are bounded.
func (s Situation) rampAfter() time.Duration {
	latest := s.Record.Duration - finishMargin - s.drainTime() - s.rampTime()
	return max(latest, time.Duration(minCanaryTime*float64(s.Record.Duration)))
}

// rampTime returns how long the ramp takes.
func (s Situation) rampTime() time.Duration { return s.responseTime() + loadTime }

// responseTime returns the time from a request to the reaction of all hosts to its response.
func (s Situation) responseTime() time.Duration {
	return s.Evidence.total().Others.Latency.quantile(0.9) + observeDelay
}

// proofTime returns the time after which a slow response to a first request for an object
// would have been noticed.
func (s Situation) proofTime() time.Duration {
	typical := s.Evidence.total().Others.Latency.quantile(0.5)
	return max(s.responseTime(), time.Duration(newObjectFactor*float64(typical))+observeDelay)
}

// drainTime returns how long requests in flight at other versions need to end.
func (s Situation) drainTime() time.Duration {
	longest := s.Evidence.total().Others.Latency.quantile(0.999)
	if s.MaxRequest > 0 {
		longest = min(longest, s.MaxRequest)
	}
	return max(longest+observeDelay, s.proofTime())
}

// adjust sets the canary's fraction so that the target gets the intended part of the
// requests.
func (s Situation) adjust() (Record, bool) {
	r, want := s.Record, s.canaryFraction()
	switch {
	case s.Target.Count == 0:
		return r, false
	case r.Fraction == 0 && want > 0:
		return r.WithFraction(want, 0, s.Now), true
	case after(r.ChangedAt, s.Now) < adjustInterval:
		return r, false
	case r.Fraction > 0 && want == 0:
		return r.WithFraction(0, 0, s.Now), true
	}
	next, requests := s.correctedFraction(want), 0.0
	if s.knowsPositions() {
		requests = want
	}
	if math.Abs(next-r.Fraction) < minAdjustment*r.Fraction {
		return r, false
	}
	return r.WithFraction(next, requests, s.Now), true
}

// correctedFraction returns the fraction of the keys of which the wanted fraction of the
// requests is expected, given the fraction that was measured.
func (s Situation) correctedFraction(want float64) float64 {
	all := s.Evidence.total()
	sent := all.Target.Sent + all.Others.Sent
	if sent < minAdjustRequests {
		return s.Record.Fraction
	}
	measured := float64(all.Target.Sent) / float64(sent)
	if s.knowsPositions() {
		measured = s.Evidence.Positions.requestsOf(s.Record.Fraction)
	}
	if measured < want*adjustFactor && measured > want/adjustFactor {
		return s.Record.Fraction
	}
	if s.knowsPositions() {
		return min(maxCanaryFraction, s.Evidence.Positions.fractionFor(want))
	}
	factor := min(2, max(0.5, want/max(measured, want/2)))
	return min(maxCanaryFraction, s.Record.Fraction*factor)
}

// knowsPositions reports whether it is known what fraction of the requests a fraction of the keys
// has. Hosts of older versions do not report it.
func (s Situation) knowsPositions() bool {
	return s.Evidence.Positions.total() >= minAdjustRequests
}

// canaryFraction returns the fraction of the requests that the canary shall get; zero once
// the target has used the canary's part of the budget for the whole duration.
func (s Situation) canaryFraction() float64 {
	elapsed := after(s.Record.StartedAt, s.Now)
	all := s.Evidence.total()
	sent := float64(all.Target.Sent + all.Others.Sent)
	part := s.canaryPart()
	if elapsed <= 0 || sent < minAdjustRequests {
		return part * s.Limits.Fraction
	}
	expected := sent * max(1, float64(s.Record.Duration)/float64(elapsed))
	budget := part * s.Limits.budget(expected)
	if float64(all.Target.Sent) >= budget {
		return 0
	}
	return min(maxCanaryFraction, budget/expected)
}

// canaryPart returns the part of the budget that the ramp and the shift leave to the canary.
func (s Situation) canaryPart() float64 {
	late := rampFraction*s.rampTime().Seconds() + s.drainTime().Seconds()
	left := 1 - late/(s.Limits.Fraction*s.Record.Duration.Seconds())
	return max(minCanaryPart, min(maxCanaryPart, left))
}

// summary returns the figures of the comparison for the log.
func (s Situation) summary() string {
	all := s.Evidence.total()
	return fmt.Sprintf("of %d requests %d failed and %d were slow, and of %d at other versions %d and %d",
		all.Target.Ended, all.Target.Failed, all.Target.Slow, all.Others.Ended, all.Others.Failed, all.Others.Slow)
}
