package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
)

func TestKeyStaysAtItsFirstPreferredUpstream(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), twoRegions(12)
	for key := range 50 {
		q := balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: now}
		c := choose(t, b, q)
		first := c.Upstream.ID
		b.Done(c)
		for range 5 {
			c := choose(t, b, q)
			require.Equal(t, first, c.Upstream.ID)
			require.Zero(t, c.Rank)
			b.Done(c)
		}
	}
}

// When an upstream is removed, its keys move. Of the other keys, only as many move as the
// region has lost capacity for.
func TestFewKeysMoveWhenAnUpstreamIsGone(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), twoRegions(12)
	const keys = 500
	others := 0
	for key := range keys {
		q := balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: now}
		before := choose(t, b, q)
		b.Done(before)
		q.Upstreams = all[1:]
		after := choose(t, b, q)
		b.Done(after)
		if before.Upstream.ID != all[0].ID && before.Upstream.ID != after.Upstream.ID {
			others++
		}
	}
	require.Less(t, others, keys/11)
}

func TestRegionServesThePartOfItsKeysThatItHasCapacityFor(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), ownAndOther(3, 24)
	own := 0
	const keys = 1000
	for key := range keys {
		c := choose(t, b, balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: now})
		b.Done(c)
		if c.Upstream.Region == "west" {
			own++
		}
	}
	require.InDelta(t, 2*3.0/24, float64(own)/keys, 0.08)
}

// A region with half the capacity that its keys need serves the large responses itself and
// leaves the small ones to other regions.
func TestLargeResponsesAreServedInTheOwnRegionFirst(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), ownAndOther(3, 12)
	own := map[bool]int{}
	const keys = 500
	for key := range keys {
		for _, bulk := range []bool{true, false} {
			c := choose(t, b, balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: now, Bulk: bulk, Mixed: true})
			b.Done(c)
			if c.Upstream.Region == "west" {
				own[bulk]++
			}
		}
	}
	require.Greater(t, own[true], keys*7/10)
	require.Less(t, own[false], keys*3/10)
}
