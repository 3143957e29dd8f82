package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// alarmThreshold is the log-likelihood ratio from which on a test counts the target
	// as bad. Its exponential bounds the rate of false alarms of one test.
	alarmThreshold = 8
	// leftOutFraction is the fraction of the target's upstreams that may be faulty without
	// the version being so. The worst ones are left out, and the others must show the
	// fault as well. Outlier detection handles faults of single upstreams.
	leftOutFraction = 0.4
	// minLeftOut is how many upstreams are left out at least, if as many others remain. Few
	// keys reach only few upstreams.
	minLeftOut = 3
	// affectedPart is the part of the rate of all upstreams that the other ones must show.
	affectedPart = 0.25
	// baseMemory is the factor by which the counts of the other versions decay from one
	// observation to the next, so that a fault of all versions is not attributed to the
	// target.
	baseMemory = 0.8
	// groupMemory is the corresponding factor for the groups of the target's upstreams.
	// It is longer, because single upstreams get few requests.
	groupMemory = 0.96
	// basePrior and basePriorRate are a prior of the other versions' rate: as many
	// requests at that rate.
	basePrior     = 20
	basePriorRate = 0.005
	// maxGoodRate and maxBadRate keep the rates of a test below 1 and apart.
	maxGoodRate = 0.9
	maxBadRate  = 0.95
)

// The rates that the tests look for. The tolerance for slow responses is larger, because an
// upstream responds more slowly to the first request for an object, and the target's upstreams
// have seen none before the roll-out.
var (
	raisedFailures = raisedRate{tolerance: 0.015, effect: 0.08}
	raisedSlowness = raisedRate{tolerance: 0.06, effect: 0.2}
)

// raisedRate is how a bad version's rate of faults differs from that of the other versions.
type raisedRate struct {
	// tolerance is how much higher a good version's rate may be, and effect how much
	// higher than that the rate is which the test detects fastest.
	tolerance, effect float64
}

// Finding is the result of a comparison of the target with the other versions.
type Finding struct {
	// Bad is set when the target is bad.
	Bad bool
	// Reason is one sentence with the figures that decided; empty unless Bad is set.
	Reason string
}

// Judge compares the target with the other versions by sequential tests (CUSUM): one for
// failures and one for slow responses of each route, because a version may be bad on one
// route only, and only from some time on.
type Judge struct {
	seen  map[string]RouteEvidence
	tests map[string]*routeTests
	// seenGroups and groups are the counts of the groups when they were last observed, and
	// their recent increases, which decay.
	seenGroups map[int]GroupOutcomes
	groups     map[int]recentOutcomes
}

// recentOutcomes are decayed counts of GroupOutcomes.
type recentOutcomes struct{ failures, slowness faults }

// NewJudge returns a judge that has seen no evidence.
func NewJudge() *Judge {
	return &Judge{seen: map[string]RouteEvidence{}, tests: map[string]*routeTests{}, seenGroups: map[int]GroupOutcomes{}, groups: map[int]recentOutcomes{}}
}

// allRoutes stands for the sum of all routes, which has a test of its own: a fault of few
// requests on each route is noticed sooner in it.
const allRoutes = "any"

// Observe evaluates the evidence of all hosts so far. Evidence may be less than before when
// hosts have ended.
func (j *Judge) Observe(e Evidence) Finding {
	j.observeGroups(e)
	found := j.observe(allRoutes, e.total())
	for name, now := range e.Routes {
		if f := j.observe(name, now); f.Bad {
			found = f
		}
	}
	return found
}

// observe evaluates the evidence of one route.
func (j *Judge) observe(name string, now RouteEvidence) Finding {
	t := j.tests[name]
	if t == nil {
		t = &routeTests{}
		j.tests[name] = t
	}
	before := j.seen[name]
	j.seen[name] = now
	t.failures.observe(raisedFailures, now.Target.failures().since(before.Target.failures()), now.Others.failures().since(before.Others.failures()))
	t.slowness.observe(raisedSlowness, now.Target.slowness().since(before.Target.slowness()), now.Others.slowness().since(before.Others.slowness()))
	return j.finding(t, name, now)
}

// observeGroups updates the recent outcomes of the target's groups of upstreams.
func (j *Judge) observeGroups(e Evidence) {
	for group, now := range e.Groups {
		before, recent := j.seenGroups[group], j.groups[group]
		j.groups[group] = recentOutcomes{
			failures: recent.failures.decayed(groupMemory).plus(now.failures().since(before.failures())),
			slowness: recent.slowness.decayed(groupMemory).plus(now.slowness().since(before.slowness())),
		}
		j.seenGroups[group] = now
	}
}

// isCommon reports whether the target's upstreams show a fault in general: also those that
// remain when the worst ones are left out.
func (j *Judge) isCommon(kind func(recentOutcomes) faults) bool {
	var groups []faults
	for _, recent := range j.groups {
		if f := kind(recent); f.all > 0 {
			groups = append(groups, f)
		}
	}
	slices.SortFunc(groups, func(a, b faults) int { return cmp.Compare(b.faulty*a.all, a.faulty*b.all) })
	leftOut := max(int(leftOutFraction*float64(len(groups))), min(minLeftOut, len(groups)/2))
	rest := groups[leftOut:]
	return rateOf(rest) >= affectedPart*rateOf(groups)
}

// routeTests are the tests of one route.
type routeTests struct{ failures, slowness sequentialTest }

// finding returns the result of a route's tests.
func (j *Judge) finding(t *routeTests, route string, now RouteEvidence) Finding {
	switch {
	case t.failures.score >= alarmThreshold && j.isCommon(func(r recentOutcomes) faults { return r.failures }):
		return Finding{true, fmt.Sprintf("%d of %d requests of route %s failed, and %d of %d at other versions",
			now.Target.Failed, now.Target.Ended, route, now.Others.Failed, now.Others.Ended)}
	case t.slowness.score >= alarmThreshold && j.isCommon(func(r recentOutcomes) faults { return r.slowness }):
		return Finding{true, fmt.Sprintf("%d of %d responses of route %s were slow, and %d of %d at other versions",
			now.Target.Slow, now.Target.Compared, route, now.Others.Slow, now.Others.Compared)}
	}
	return Finding{}
}

// sequentialTest is a one-sided CUSUM test of a rate against that of the other versions.
type sequentialTest struct {
	// score is the log-likelihood ratio of a raised rate since the time that is most
	// favorable for it.
	score float64
	// base is the decayed count of the other versions.
	base faults
}

// observe adds requests of the target and those of the other versions in the same time.
func (t *sequentialTest) observe(r raisedRate, target, others faults) {
	t.base = t.base.decayed(baseMemory).plus(others)
	rate := (t.base.faulty + basePrior*basePriorRate) / (t.base.all + basePrior)
	good := min(maxGoodRate, rate+r.tolerance)
	bad := min(maxBadRate, good+r.effect)
	faulty := min(target.faulty, target.all)
	sound := target.all - faulty
	t.score += faulty*math.Log(bad/good) + sound*math.Log((1-bad)/(1-good))
	t.score = max(0, t.score)
}
