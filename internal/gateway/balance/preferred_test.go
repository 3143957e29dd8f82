package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
)

// On an upstream where its object is not warm, a request takes more capacity than it saves
// elsewhere. Under overload a key is therefore served only by the two upstreams of its
// preference list and rejected beyond them, although upstreams of other keys have free
// capacity.
func TestKeyIsServedByItsPreferenceListOnly(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), twoRegions(12)
	q := balance.Query{Key: "k", Upstreams: all, Now: now}
	require.Len(t, chooseUntilRejected(t, b, q), balance.PreferenceListSize)
	for key := range 20 {
		q.Key = "other" + strconv.Itoa(key)
		if c, reason := b.Choose(q); reason == balance.Chosen {
			b.Done(c)
			return
		}
	}
	t.Fatal("no other key was served")
}

// A busy upstream that still accepts requests spills a request only to an upstream that is
// not busy. The object is not warm there, and the request takes three times as long.
func TestBusyUpstreamSpillsOnlyToOneWithFreeCapacity(t *testing.T) {
	for _, c := range []struct {
		name     string
		nextLoad int
		rank     int
	}{
		{"the next has free capacity", 2, 1},
		{"the next is less busy, but not below the limit", 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, now, all := newBalancer(1), time.Now(), twoRegions(2)
			q := balance.Query{Key: "k", Upstreams: all, Now: now}
			first := choose(t, b, q).Upstream
			next := all[0]
			if next == first {
				next = all[1]
			}
			b.ObserveLoad(first, 6, 0, now) // of a capacity of 4
			b.ObserveLoad(next, c.nextLoad, 0, now)
			require.Equal(t, c.rank, choose(t, b, q).Rank)
		})
	}
}

func TestReportedLoadOfOtherHostsIsIncluded(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), twoRegions(12)
	q := balance.Query{Key: "k", Upstreams: all, Now: now}
	c := choose(t, b, q)
	first := c.Upstream
	b.Done(c)
	b.ObserveLoad(first, 4, 4, now)
	next := choose(t, b, q)
	require.NotEqual(t, first, next.Upstream)
	require.Equal(t, 1, next.Rank)
	// An expired report is ignored.
	q.Now = now.Add(2 * time.Second)
	require.Equal(t, first, choose(t, b, q).Upstream)
}
