package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
)

// fourZones returns four upstreams in each of two zones of the host's own region and of
// two zones of another region.
func fourZones() []*upstream.Upstream {
	var all []*upstream.Upstream
	for i := range 4 {
		n := strconv.Itoa(i)
		all = append(all, newUpstream("own-"+n, "west-1", "west"), newUpstream("near-"+n, "west-2", "west"),
			newUpstream("far-"+n, "east-1", "east"), newUpstream("further-"+n, "east-2", "east"))
	}
	return all
}

func TestRequestWithoutAffinityIsRejectedOnlyWhenAllAreFull(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), fourZones()
	accepted := 0
	for request := 0; ; request++ {
		require.Less(t, request, 1000)
		_, reason := b.Choose(balance.Query{Key: strconv.Itoa(request), NoAffinity: true, Upstreams: all, Now: now})
		if reason != balance.Chosen {
			require.Equal(t, balance.Overloaded, reason)
			break
		}
		accepted++
	}
	capacity := float64(len(all)*all[0].Capacity) * balance.RejectAbove
	require.GreaterOrEqual(t, float64(accepted), capacity)
}

func TestRequestWithoutAffinityIsSpreadOverItsZoneWhileTheZoneHasCapacity(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), fourZones()
	used := map[string]int{}
	const requests = 8 // half of the zone's capacity
	for request := range requests {
		c := choose(t, b, balance.Query{Key: strconv.Itoa(request), NoAffinity: true, Upstreams: all[:8], Now: now})
		used[c.Upstream.ID]++
		require.Equal(t, "west-1", c.Upstream.Zone)
	}
	for id, n := range used {
		require.LessOrEqual(t, n, all[0].Capacity, id)
	}
}
