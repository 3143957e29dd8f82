package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
)

// threeRegions returns the upstreams of three regions: 2 in the host's own region west,
// and the given numbers in the others.
func threeRegions(east, north int) []*upstream.Upstream {
	var all []*upstream.Upstream
	for region, n := range map[string]int{"west": 2, "east": east, "north": north} {
		for i := range n {
			all = append(all, newUpstream(region+strconv.Itoa(i), region+"-1", region))
		}
	}
	return all
}

// shares returns the fraction of the own region's keys that each region serves first.
func shares(t *testing.T, p balance.Policy, all []*upstream.Upstream, change func(*balance.Query)) map[string]float64 {
	t.Helper()
	l := balance.Location{Zone: "west-1", Region: "west", Regions: 3}
	b := balance.New(l, fixedQuota(1), noneEjected{}, p)
	const keys = 3000
	got := map[string]float64{}
	for key := range keys {
		q := balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: time.Now()}
		if change != nil {
			change(&q)
		}
		c := choose(t, b, q)
		b.Done(c)
		got[c.Upstream.Region] += 1.0 / keys
	}
	return got
}

// In a deployment with 2, 8 and 10 upstreams in three regions and equal demand, the first
// region served 0.13 to 0.19 of its requests itself, although it has capacity for 0.3: its
// 2 upstreams seldom had the lowest of 20 random costs. The other requests went to the
// other regions in proportion to their size, although the second region has hardly more
// capacity than it needs itself. In the log of a day of high load, the zones of the second
// region lost the most, 0.115 and 0.137 of their credit; those of the third lost 0.099 and
// 0.094.
func TestARegionShortOfUpstreamsIsServedByRegionsWithSpareCapacity(t *testing.T) {
	got := shares(t, balance.DefaultPolicy(), threeRegions(8, 10), nil)
	require.InDelta(t, 0.3, got["west"], 0.03)
	spareEast, spareNorth := 8-20/3.0, 10-20/3.0
	require.InDelta(t, 0.7*spareEast/(spareEast+spareNorth), got["east"], 0.04)
	require.InDelta(t, 0.7*spareNorth/(spareEast+spareNorth), got["north"], 0.04)
}

func TestARegionWithLessThanItsShareServesNoKeysOfOthers(t *testing.T) {
	got := shares(t, balance.DefaultPolicy(), threeRegions(3, 10), nil)
	require.Zero(t, got["east"])
	require.InDelta(t, 0.6, got["north"], 0.03)
}

// Requests without affinity overflow to the same regions.
func TestOverflowWithoutAffinityGoesToRegionsWithSpareCapacity(t *testing.T) {
	got := shares(t, balance.DefaultPolicy(), threeRegions(3, 10), func(q *balance.Query) { q.NoAffinity = true })
	require.Zero(t, got["east"])
	require.Greater(t, got["north"], 0.5)
}

// A route that is not allowed in the host's region is served where it is allowed, even if
// only one region is.
func TestARouteIsServedInItsAllowedRegionOnly(t *testing.T) {
	for _, allowed := range []string{"east", "north", "west"} {
		got := shares(t, balance.DefaultPolicy(), threeRegions(8, 10), func(q *balance.Query) {
			q.Allows = func(region string) bool { return region == allowed }
		})
		require.InDelta(t, 1, got[allowed], 1e-6, allowed)
	}
}

func TestOneRegionServesAllItsKeys(t *testing.T) {
	l := balance.Location{Zone: "west-1", Region: "west", Regions: 1}
	b := balance.New(l, fixedQuota(1), noneEjected{}, balance.DefaultPolicy())
	all := upstreams(6, func(int) bool { return true })
	for key := range 100 {
		c := choose(t, b, balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: time.Now()})
		require.Zero(t, c.Rank)
		b.Done(c)
	}
}

// The upstreams of an evacuated or crashed region are not in the list. The keys that it
// served for itself and for others go to regions with spare capacity. No region that lacks
// capacity itself takes over more.
func TestTheOthersTakeOverFromARegionThatIsGone(t *testing.T) {
	got := shares(t, balance.DefaultPolicy(), threeRegions(8, 0), nil)
	require.InDelta(t, 0.6, got["west"], 0.03)
	require.InDelta(t, 0.4, got["east"], 0.03)
}

// Two services with different numbers of upstreams in each region share a host, and one has
// half as many as the other. Each is spread by its own upstreams.
func TestEachServiceIsSpreadByItsOwnUpstreams(t *testing.T) {
	service := func(name string, west, east, north int) (all []*upstream.Upstream) {
		for _, r := range []struct {
			region string
			n      int
		}{{"west", west}, {"east", east}, {"north", north}} {
			for i := range r.n {
				all = append(all, newUpstream(name+r.region+strconv.Itoa(i), r.region+"-"+strconv.Itoa(i%2), r.region))
			}
		}
		return all
	}
	services := [][]*upstream.Upstream{service("a", 22, 88, 106), service("b", 63, 13, 50)}
	b := balance.New(balance.Location{Zone: "west-1", Region: "west", Regions: 3}, fixedQuota(1), noneEjected{}, balance.DefaultPolicy())
	const keys = 1000
	var own [2]float64
	for key := range keys {
		for i, all := range services {
			c := choose(t, b, balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: time.Now()})
			b.Done(c)
			if c.Upstream.Region == "west" {
				own[i] += 1.0 / keys
			}
		}
	}
	require.InDelta(t, 22*3/216.0, own[0], 0.05)
	require.InDelta(t, 1, own[1], 1e-6)
}
