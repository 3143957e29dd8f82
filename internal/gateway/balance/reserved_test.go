package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
)

// One region had 2 of 20 upstreams and a third of the clients, and a tenth of all requests
// was bound to it. It also served three tenths of its unbound requests. Its upstreams got
// twice the requests that they can serve, and responded after up to 3 s, all day long.
func TestUnboundRequestsLeaveCapacityToRequestsBoundToARegion(t *testing.T) {
	all := threeRegions(8, 10)
	for _, c := range []struct {
		name     string
		reserved map[string]float64
		west     float64
	}{
		{"nothing is reserved", nil, 0.3},
		{"half of the region's capacity is reserved", map[string]float64{"west": 0.05}, 0.16},
		{"all of its capacity is reserved", map[string]float64{"west": 0.1}, 0},
		{"more than its capacity is reserved", map[string]float64{"west": 0.5}, 0},
		{"requests bound to another region", map[string]float64{"north": 0.3}, 0.43},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := shares(t, balance.DefaultPolicy(), all, func(q *balance.Query) { q.Reserved = c.reserved })
			require.InDelta(t, c.west, got["west"], 0.03)
		})
	}
}

func TestBoundRequestsAreServedInTheirRegion(t *testing.T) {
	got := shares(t, balance.DefaultPolicy(), threeRegions(8, 10), func(q *balance.Query) {
		q.Reserved = map[string]float64{"west": 0.5}
		q.Allows = func(region string) bool { return region == "west" }
	})
	require.InDelta(t, 1, got["west"], 1e-6)
}

// Whatever an operator changes, no region's requests move faster than users allow.
func TestReservedFractionsChangeSlowly(t *testing.T) {
	all := threeRegions(8, 10)
	b := balance.New(balance.Location{Zone: "west-1", Region: "west", Regions: 3}, fixedQuota(1), noneEjected{}, balance.DefaultPolicy())
	now := time.Now()
	servedInWest := func(reserved map[string]float64) float64 {
		n := 0.0
		for key := range 1000 {
			c := choose(t, b, balance.Query{Key: strconv.Itoa(key), Upstreams: all, Reserved: reserved, Now: now})
			b.Done(c)
			if c.Upstream.Region == "west" {
				n += 1.0 / 1000
			}
		}
		return n
	}
	last := servedInWest(map[string]float64{"west": 0.1})
	require.Zero(t, last)
	for range 10 {
		now = now.Add(2 * time.Second)
		next := servedInWest(nil)
		require.LessOrEqual(t, next-last, 0.15)
		last = next
	}
	require.InDelta(t, 0.3, last, 0.03)
}
