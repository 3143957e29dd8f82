package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// observation is what the tests' hosts observe in one interval on a route.
type observation struct {
	// targetFailed, targetSlow, othersFailed and othersSlow are rates from 0 to 1.
	targetFailed, targetSlow, othersFailed, othersSlow float64
}

// observe adds the requests of one interval: 15 at the target's ten upstreams, of which the
// first affected ones show the faults, and 200 at others.
func (e *Evidence) observe(random *rand.Rand, route string, o observation, affected int) {
	r := e.Routes[route]
	for range 15 {
		u := random.IntN(10)
		c := GroupOutcomes{Ended: 1, Compared: 1}
		if u < affected && random.Float64() < o.targetFailed {
			c.Failed = 1
		}
		if u < affected && random.Float64() < o.targetSlow {
			c.Slow = 1
		}
		r.Target.add(c)
		e.Groups[u] = e.Groups[u].plus(c)
	}
	for range 200 {
		r.Others.Ended++
		r.Others.Compared++
		if random.Float64() < o.othersFailed {
			r.Others.Failed++
		}
		if random.Float64() < o.othersSlow {
			r.Others.Slow++
		}
	}
	e.Routes[route] = r
}

func TestTheTargetIsComparedWithOtherVersions(t *testing.T) {
	const intervals, usual = 40, 0.004
	sound := observation{usual, 0.05, usual, 0.05}
	for _, c := range []struct {
		name string
		// at returns what is observed on each route in an interval.
		at       func(interval int) map[string]observation
		affected int
		// by is the interval by which the target must be found to be bad, after some 50 bad
		// responses; 0 is never.
		by int
	}{
		{"good", func(int) map[string]observation { return map[string]observation{"a": sound, "b": sound} }, 10, 0},
		{"fails a third at once", func(int) map[string]observation { return map[string]observation{"a": {0.33, 0.05, usual, 0.05}} }, 10, 10},
		{"fails on one route", func(int) map[string]observation {
			return map[string]observation{"a": sound, "b": sound, "c": {0.33, 0.05, usual, 0.05}}
		}, 10, 10},
		{"fails from the middle on", func(i int) map[string]observation {
			if i < intervals/2 {
				return map[string]observation{"a": sound}
			}
			return map[string]observation{"a": {0.33, 0.05, usual, 0.05}}
		}, 10, intervals/2 + 10},
		{"fails a fifth", func(int) map[string]observation { return map[string]observation{"a": {0.2, 0.05, usual, 0.05}} }, 10, 16},
		{"slow for half", func(int) map[string]observation { return map[string]observation{"a": {usual, 0.5, usual, 0.05}} }, 10, 7},
		{"two of ten upstreams fail", func(int) map[string]observation { return map[string]observation{"a": {0.45, 0.05, usual, 0.05}} }, 2, 0},
		{"all versions fail", func(int) map[string]observation { return map[string]observation{"a": {0.3, 0.05, 0.3, 0.05}} }, 10, 0},
		{"all versions are slow", func(int) map[string]observation { return map[string]observation{"a": {usual, 0.6, usual, 0.6}} }, 10, 0},
		{"no requests", func(int) map[string]observation { return nil }, 10, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(50) {
				random := rand.New(rand.NewPCG(seed, 1))
				judge, evidence, found := NewJudge(), Evidence{}.plus(Evidence{}), 0
				for i := 1; i <= intervals && found == 0; i++ {
					for route, o := range c.at(i) {
						evidence.observe(random, route, o, c.affected)
					}
					if judge.Observe(Evidence{}.plus(evidence)).Bad {
						found = i
					}
				}
				if c.by == 0 {
					require.Zero(t, found, "seed %d", seed)
					continue
				}
				require.Positive(t, found, "seed %d", seed)
				require.LessOrEqual(t, found, c.by, "seed %d", seed)
			}
		})
	}
}

// Evidence of a host that has ended is missing in the sum. That must not count.
func TestEvidenceThatIsMissingDoesNotCount(t *testing.T) {
	judge := NewJudge()
	all := Evidence{Routes: map[string]RouteEvidence{"a": {Target: Outcomes{Ended: 100, Failed: 1}, Others: Outcomes{Ended: 1000, Failed: 4}}}}
	require.False(t, judge.Observe(all).Bad)
	require.False(t, judge.Observe(Evidence{}).Bad)
	require.False(t, judge.Observe(Evidence{Routes: map[string]RouteEvidence{"a": {Target: Outcomes{Ended: 50}}}}).Bad)
}

func TestEvidenceOfManyRoutesIsBounded(t *testing.T) {
	sum := Evidence{}
	for i := range 10 * maxRoutes {
		sum = sum.plus(Evidence{Routes: map[string]RouteEvidence{fmt.Sprint(i): {Target: Outcomes{Sent: 1}}}})
	}
	require.LessOrEqual(t, len(sum.Routes), maxRoutes+1)
	require.Equal(t, 10*maxRoutes, sum.total().Target.Sent)
}
