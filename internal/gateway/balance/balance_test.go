package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
)

// fixedQuota is a host's warm-up quota for every cold upstream, in requests.
type fixedQuota int

func (f fixedQuota) WarmUpQuota(string, string, float64) warmup.Quota {
	return warmup.Quota{Requests: int(f), Hosts: 1}
}

// noneEjected is a detector that ejects nothing.
type noneEjected struct{}

func (noneEjected) Ejected(upstream.Run, time.Time) bool { return false }

var location = balance.Location{Zone: "west-1", Region: "west", Regions: 2}

func newBalancer(quota int) *balance.Balancer {
	return balance.New(location, fixedQuota(quota), noneEjected{}, balance.DefaultPolicy())
}

func newUpstream(id, zone, region string) *upstream.Upstream {
	return &upstream.Upstream{Registration: upstream.Registration{ID: id, Service: "s", Zone: zone, Region: region, Capacity: 4}}
}

// upstreams returns n upstreams. Those for which own returns true are in the host's own
// region.
func upstreams(n int, own func(i int) bool) []*upstream.Upstream {
	var out []*upstream.Upstream
	for i := range n {
		region := "east"
		if own(i) {
			region = "west"
		}
		out = append(out, newUpstream("i-"+strconv.Itoa(i), region+"-1", region))
	}
	return out
}

// twoRegions returns n upstreams, every other one in the host's own region.
func twoRegions(n int) []*upstream.Upstream {
	return upstreams(n, func(i int) bool { return i%2 == 0 })
}

// ownAndOther returns all upstreams, of which the first own are in the host's region.
func ownAndOther(own, all int) []*upstream.Upstream {
	return upstreams(all, func(i int) bool { return i < own })
}

func choose(t *testing.T, b *balance.Balancer, q balance.Query) balance.Choice {
	t.Helper()
	c, reason := b.Choose(q)
	require.Equal(t, balance.Chosen, reason)
	return c
}

// chooseUntilRejected chooses until the reason is Overloaded. It returns the number of
// requests by upstream.
func chooseUntilRejected(t *testing.T, b *balance.Balancer, q balance.Query) map[string]int {
	t.Helper()
	taken := map[string]int{}
	for {
		c, reason := b.Choose(q)
		if reason != balance.Chosen {
			require.Equal(t, balance.Overloaded, reason)
			return taken
		}
		taken[c.Upstream.ID]++
		require.Less(t, taken[c.Upstream.ID], 100)
	}
}

func TestRequestIsServedInAllowedRegionsOnly(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), twoRegions(12)
	for key := range 100 {
		q := balance.Query{Key: strconv.Itoa(key), Upstreams: all, Now: now, Allows: func(r string) bool { return r == "east" }}
		c := choose(t, b, q)
		require.Equal(t, "east", c.Upstream.Region)
		b.Done(c)
	}
	_, reason := b.Choose(balance.Query{Key: "k", Upstreams: all, Now: now, Allows: func(string) bool { return false }})
	require.Equal(t, balance.NoUpstream, reason)
}

func TestUpstreamIsNotTriedTwice(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), twoRegions(2)
	q := balance.Query{Key: "k", Upstreams: all, Now: now, Tried: []string{all[0].ID, all[1].ID}}
	_, reason := b.Choose(q)
	require.Equal(t, balance.NoUpstream, reason)
}

func TestStateIsRetainedWhileRequestsAreOutstanding(t *testing.T) {
	b, now := newBalancer(1), time.Now()
	q := balance.Query{Key: "k", Upstreams: twoRegions(1), Now: now}
	none := func(upstream.Run) bool { return false }
	first := choose(t, b, q)
	b.ObserveLoad(first.Upstream, 1, 0, now)
	b.Retain(none, now.Add(warmup.Window))
	c := choose(t, b, q)
	require.Equal(t, 0.25, c.Load, "the first request is still outstanding")
	require.Zero(t, c.LoadAge)
	b.Done(first)
	b.Done(c)
	b.Retain(none, now.Add(warmup.Window))
	c = choose(t, b, q)
	require.Zero(t, c.Load)
	require.Negative(t, c.LoadAge, "no load report is retained")
}

// The outstanding requests and the load reports of a terminated process were counted as
// load of the process that started again under the same ID.
func TestANewRunStartsWithoutTheLoadOfThePreviousOne(t *testing.T) {
	b, now := newBalancer(1), time.Now()
	old := newUpstream("u", "west-1", "west")
	q := balance.Query{Key: "k", Upstreams: []*upstream.Upstream{old}, Now: now}
	c := choose(t, b, q)
	b.ObserveLoad(old, 4, 4, now)
	again := *old
	again.StartedAt = 20
	q.Upstreams = []*upstream.Upstream{&again}
	next := choose(t, b, q)
	require.Zero(t, next.Load)
	require.Negative(t, next.LoadAge, "the new run has reported nothing")
	b.Done(c)
	b.ObserveLoad(old, 4, 4, now)
	require.Equal(t, 0.25, choose(t, b, q).Load, "late reports and ends of the old run are ignored")
}
