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

func TestLessUrgentRequestsAreRejectedFirst(t *testing.T) {
	now, all := time.Now(), twoRegions(12)
	taken := make([]int, 4)
	for priority := range taken {
		b := newBalancer(1)
		q := balance.Query{Key: "k", Upstreams: all, Now: now, Priority: priority}
		for _, n := range chooseUntilRejected(t, b, q) {
			taken[priority] += n
		}
		// A more urgent request is served by the capacity that less urgent requests left.
		q.Priority = 0
		_, reason := b.Choose(q)
		require.Equal(t, priority != 0, reason == balance.Chosen)
	}
	require.IsDecreasing(t, taken)
	require.Positive(t, taken[3])
}

func TestColdUpstreamGetsTheHostsQuotaInAnySecond(t *testing.T) {
	b, now := newBalancer(3), time.Now()
	cold := newUpstream("cold", "west-1", "west")
	cold.ColdUntil = now.Add(10 * time.Second)
	sent := []time.Time{}
	for at := now; at.Before(cold.ColdUntil); at = at.Add(20 * time.Millisecond) {
		c, reason := b.Choose(balance.Query{Key: "k", Upstreams: []*upstream.Upstream{cold}, Now: at})
		if reason == balance.Chosen {
			b.Done(c)
			sent = append(sent, at)
			continue
		}
		require.Equal(t, balance.WarmUpLimited, reason)
	}
	for i := range sent {
		if i >= 3 {
			require.Greater(t, sent[i].Sub(sent[i-3]), time.Second)
		}
	}
	require.Greater(t, len(sent), 20)
	// Once warm, the upstream accepts requests up to its capacity.
	_, reason := b.Choose(balance.Query{Key: "k", Upstreams: []*upstream.Upstream{cold}, Now: cold.ColdUntil})
	require.Equal(t, balance.Chosen, reason)
}

// An upstream may turn cold right after it received the load of a warm one. The requests
// of the last second must then use its warm-up quota; otherwise the upstream gets more
// than a cold one can serve.
func TestRequestsSentToAWarmUpstreamCountOnceItIsCold(t *testing.T) {
	const quota = 3
	b, now := newBalancer(quota), time.Now()
	u := newUpstream("u", "west-1", "west")
	q := balance.Query{Key: "k", Upstreams: []*upstream.Upstream{u}, Now: now}
	for range quota - 1 {
		b.Done(choose(t, b, q))
	}
	cold := *u
	cold.ColdUntil = now.Add(time.Minute)
	q.Upstreams, q.Now = []*upstream.Upstream{&cold}, now.Add(500*time.Millisecond)
	b.Done(choose(t, b, q))
	_, reason := b.Choose(q)
	require.Equal(t, balance.WarmUpLimited, reason)
	q.Now = now.Add(warmup.Window)
	choose(t, b, q)
}

// An upstream whose entry disappears and returns within a second is the same run. If its
// recent requests were dropped in between, it would get its quota twice.
func TestRecentlySentRequestsAreRetained(t *testing.T) {
	b, now := newBalancer(1), time.Now()
	cold := newUpstream("u", "west-1", "west")
	cold.ColdUntil = now.Add(time.Minute)
	q := balance.Query{Key: "k", Upstreams: []*upstream.Upstream{cold}, Now: now}
	b.Done(choose(t, b, q))
	b.Retain(func(upstream.Run) bool { return false }, now)
	_, reason := b.Choose(q)
	require.Equal(t, balance.WarmUpLimited, reason)
}

// A host dials an upstream only for a request that finds no idle connection in package
// exchange's pool. Its connections to one upstream, including idle ones, therefore never
// outnumber the requests that were outstanding there at once. A request is admitted while
// that number is below rejectAbove x capacity.
func TestConnectionsToAnUpstreamStayBelowItsLimit(t *testing.T) {
	for _, c := range []struct {
		deployment     string
		hosts          int // including spare hosts
		capacity       int
		maxConnections int
		outstanding    int // per host
	}{
		{"cacf-ruteo ruteo", 15, 9, 330, 17},
		{"cacf-ruteo patio", 15, 3, 330, 6},
		{"renkoda-mix", 15, 3, 330, 6},
		{"cacf-ruteo-grown", 94, 9, 1620, 17},
		{"renkoda-mix-grown", 93, 3, 1620, 6},
		{"cacf-ruteo-large", 295, 9, 5400, 17},
		{"freight planning as first described", 9, 6, 110, 12},
		{"tinting as first described", 9, 2, 110, 4},
	} {
		for _, noAffinity := range []bool{false, true} {
			t.Run(c.deployment+" noAffinity="+strconv.FormatBool(noAffinity), func(t *testing.T) {
				u := newUpstream("i", "west-1", "west")
				u.Capacity = c.capacity
				q := balance.Query{Key: "k", NoAffinity: noAffinity, Upstreams: []*upstream.Upstream{u}, Now: time.Now()}
				outstanding := chooseUntilRejected(t, newBalancer(1), q)["i"]
				require.Equal(t, c.outstanding, outstanding)
				require.LessOrEqual(t, c.hosts*outstanding, c.maxConnections)
			})
		}
	}
}
