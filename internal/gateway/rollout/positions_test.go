package rollout

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// A fraction of few keys, or of keys of unequal weight, gets another fraction of the requests. A
// ramp that gets too few never loads its upstreams, and a version that is bad only under load
// would succeed; one that gets too many exceeds its bound.
func TestTheFractionOfTheKeysFollowsTheirRequests(t *testing.T) {
	even := Positions{positionBuckets: 8 * positionBuckets}
	for bucket := range positionBuckets {
		even[bucket] = 8
	}
	for _, c := range []struct {
		name         string
		positions    Positions
		wanted, want float64
	}{
		{"equal weights", even, 0.25, 0.25},
		{"no keys before 0.3", Positions{39: 500, positionBuckets: 500}, 0.25, 39.5 / 128},
		{"a heavy key at the beginning", Positions{0: 600, positionBuckets: 400}, 0.25, 0.417 / 128},
		{"too few requests in the counted positions", Positions{3: 10, positionBuckets: 990}, 0.25, countedPositions},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.positions.fractionFor(c.wanted)
			require.InDelta(t, c.want, f, 0.003)
			if f < countedPositions {
				require.InDelta(t, c.wanted, c.positions.requestsOf(f), 0.001)
			}
		})
	}
}

// Hosts of other versions send no positions, or others. The result must stay within its bounds,
// and without positions a fraction of the keys counts as the same fraction of the requests.
func TestPositionsOfHostsOfOtherVersions(t *testing.T) {
	odd := Evidence{Positions: Positions{-4: 10, math.MaxInt: 10, 5: -1}}
	sum := odd.plus(Evidence{}).Positions
	require.Equal(t, 20, sum.total())
	require.Equal(t, Positions{0: 10, 5: 0, positionBuckets: 10}, sum)

	r := newRecord(testOrder, nil, 0)
	r.Fraction = 0.04
	for _, c := range []struct {
		name           string
		positions      Positions
		want, requests float64
	}{
		{"from no host", nil, rampFraction, 0},
		{"from some hosts", Positions{63: 300, positionBuckets: 300}, 63.5 / 128, rampFraction},
	} {
		t.Run(c.name, func(t *testing.T) {
			next, due := Next(Situation{
				Record: r, Now: testOrder.Duration.Milliseconds() * 9 / 10, Evidence: Evidence{Positions: c.positions},
				Target: Upstreams{Count: 10, Capacity: 100}, Others: Upstreams{Count: 10, Capacity: 100},
			})
			require.True(t, due)
			require.Equal(t, Ramp, next.Phase)
			require.InDelta(t, c.want, next.Fraction, 0.003)
			require.Equal(t, c.requests, next.Requests)
		})
	}
}

// The number of upstreams follows the requests and not the keys, so that their load is the usual
// one however many keys have these requests.
func TestTheCanaryUpstreamsFollowTheRequests(t *testing.T) {
	all := versions(map[string]int{"v1": 100, "v2": 100})
	for _, fraction := range []float64{0.1, 0.25, 0.5} {
		p := newPlan(Record{Order: testOrder, Phase: Ramp, Fraction: fraction, Requests: rampFraction}, false, false, all)
		require.Len(t, p.canary, 20)
	}
}
