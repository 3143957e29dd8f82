package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
)

func newZoneCopiesBalancer(zone string, d balance.OutlierDetector) *balance.Balancer {
	p := balance.DefaultPolicy()
	p.ZoneCopies = true
	return balance.New(balance.Location{Zone: zone, Region: "west", Regions: 2}, fixedQuota(1), d, p)
}

// firstTwo returns the zones and the ids of the upstreams that serve a key first and next.
func firstTwo(t *testing.T, b *balance.Balancer, key string, all []*upstream.Upstream) (zones, ids [2]string) {
	t.Helper()
	q := balance.Query{Key: key, Upstreams: all, Now: time.Now()}
	for i := range zones {
		c := choose(t, b, q)
		b.Done(c)
		zones[i], ids[i] = c.Upstream.Zone, c.Upstream.ID
		q.Tried = append(q.Tried, c.Upstream.ID)
	}
	return zones, ids
}

// Guards against bytes between zones, and against more than two copies of an object in a
// region.
func TestZonesShareTheTwoCopiesOfAKey(t *testing.T) {
	all := fourZones()
	a, b := newZoneCopiesBalancer("west-1", noneEjected{}), newZoneCopiesBalancer("west-2", noneEjected{})
	for key := range 200 {
		zonesOfA, idsOfA := firstTwo(t, a, strconv.Itoa(key), all)
		zonesOfB, idsOfB := firstTwo(t, b, strconv.Itoa(key), all)
		require.ElementsMatch(t, idsOfA, idsOfB)
		require.NotEqual(t, zonesOfA[0], zonesOfA[1])
		if zonesOfA[0][:4] == "west" {
			require.Equal(t, [2]string{"west-1", "west-2"}, zonesOfA)
			require.Equal(t, [2]string{"west-2", "west-1"}, zonesOfB)
		}
	}
}

// Guards against a region without any order of its own: with one zone, or none of the
// host's own, keys are served as without the rule.
func TestZoneCopiesNeedTwoZones(t *testing.T) {
	for name, all := range map[string][]*upstream.Upstream{
		"one zone":                  ownAndOther(4, 8),
		"none in the host's zone":   without(fourZones(), "west-1"),
		"no upstream in the region": without(without(fourZones(), "west-1"), "west-2"),
	} {
		t.Run(name, func(t *testing.T) {
			b, plain := newZoneCopiesBalancer("west-1", noneEjected{}), newBalancer(1)
			for key := range 100 {
				q := balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: time.Now(), Allows: func(r string) bool { return r == "west" || name == "no upstream in the region" }}
				c, reason := b.Choose(q)
				want, wantReason := plain.Choose(q)
				require.Equal(t, wantReason, reason)
				plain.Done(want)
				b.Done(c)
				if reason == balance.Chosen && name != "no upstream in the region" {
					require.Equal(t, want.Upstream.ID, c.Upstream.ID)
				}
			}
		})
	}
}

func without(all []*upstream.Upstream, zone string) []*upstream.Upstream {
	var left []*upstream.Upstream
	for _, u := range all {
		if u.Zone != zone {
			left = append(left, u)
		}
	}
	return left
}

// Guards against an ejected upstream that is preferred because it is in the host's zone.
func TestAnEjectedCopyIsTriedLast(t *testing.T) {
	all := fourZones()
	b, withEjected := newZoneCopiesBalancer("west-1", noneEjected{}), newZoneCopiesBalancer("west-1", ejecting("own-0"))
	met := false
	for key := range 100 {
		_, ids := firstTwo(t, b, strconv.Itoa(key), all)
		_, others := firstTwo(t, withEjected, strconv.Itoa(key), all)
		if ids[0] == "own-0" {
			met = true
			require.Equal(t, ids[1], others[0])
		}
		require.NotContains(t, others, "own-0")
	}
	require.True(t, met)
}

// Guards against second first loads of objects whose requests cost little between zones, and
// against another order of the bulk responses, which go to their region first.
func TestZoneCopiesAreForLargeRequests(t *testing.T) {
	p := balance.DefaultPolicy()
	p.ZoneCopies, p.ZoneCopiesAbove = true, 8192
	copies := balance.New(balance.Location{Zone: "west-1", Region: "west", Regions: 2}, fixedQuota(1), noneEjected{}, p)
	plain := newBalancer(1)
	for name, c := range map[string]struct {
		mean float64
		bulk bool
		want bool
	}{
		"unknown": {0, false, false}, "small": {8191, false, false}, "large": {8192, false, true}, "bulk": {90_000, true, false},
	} {
		other, differs := 0, false
		for key := range 200 {
			q := balance.Query{Key: strconv.Itoa(key), Upstreams: fourZones(), Now: time.Now(), MeanBytes: c.mean, Bulk: c.bulk}
			first, before := choose(t, copies, q), choose(t, plain, q)
			copies.Done(first)
			plain.Done(before)
			differs = differs || first.Upstream.ID != before.Upstream.ID
			if first.Upstream.Zone == "west-2" {
				other++
			}
		}
		require.Equal(t, c.want, other == 0, name)
		require.Equal(t, c.want, differs, name)
	}
}
