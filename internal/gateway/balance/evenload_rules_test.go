package balance_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/upstream"
)

func newEvenBalancer(quota int, d balance.OutlierDetector) *balance.Balancer {
	p := balance.DefaultPolicy()
	p.EvenLoad = true
	return balance.New(location, fixedQuota(quota), d, p)
}

// withhold is the notice of one upstream that accepts no request.
type withhold string

func (w withhold) Withheld(u *upstream.Upstream, _ time.Time) notice.Withheld {
	if u.ID != string(w) {
		return notice.Withheld{}
	}
	return notice.Withheld{Upstream: u.ID, Leaving: true}
}
func (withhold) Take(*upstream.Upstream, time.Time)            {}
func (withhold) BackoffElsewhere(upstream.Run, time.Time) bool { return false }

// reportLoads reports a load of every upstream except one, from which idle is reported if it
// is set, and nothing otherwise.
func reportLoads(b *balance.Balancer, all []*upstream.Upstream, except string, idle bool, now time.Time) {
	for _, u := range all {
		switch {
		case u.ID != except:
			b.ObserveLoad(u, u.Capacity, 0, now)
		case idle:
			b.ObserveLoad(u, 0, 0, now)
		}
	}
}

// chosenFor returns how many of 1,000 keys are served by each upstream, one at a time.
func chosenFor(t *testing.T, b *balance.Balancer, q balance.Query) map[string]int {
	t.Helper()
	chosen := map[string]int{}
	for key := range 1000 {
		q.Key = strconv.Itoa(key)
		c, reason := b.Choose(q)
		if reason == balance.Chosen {
			chosen[c.Upstream.ID]++
			b.Sent(c, q.Now)
			b.Done(c)
		}
	}
	return chosen
}

// Guards against an upstream that attracts all requests because it reports to be idle, or
// none at all: it serves only keys that have it in their preference list of two.
func TestAnUpstreamThatReportsIdleOrNothingGetsItsKeysOnly(t *testing.T) {
	now, all := time.Now(), ownAndOther(20, 20)
	for name, c := range map[string]struct {
		idle     bool
		from, to int
	}{
		"idle":    {true, 50, 140}, // 2 of 20 positions in the lists
		"nothing": {false, 25, 80}, // 1 of 20: as many as the others
	} {
		t.Run(name, func(t *testing.T) {
			b := newEvenBalancer(1, noneEjected{})
			reportLoads(b, all, "i-3", c.idle, now)
			got := chosenFor(t, b, balance.Query{Upstreams: all, Now: now})["i-3"]
			require.GreaterOrEqual(t, got, c.from)
			require.LessOrEqual(t, got, c.to)
		})
	}
}

// Guards against a low load that goes before the rules: of an upstream that is ejected, that
// is leaving, that is cold, that was tried, that the region or the rollout does not allow.
func TestRulesGoBeforeEvenLoad(t *testing.T) {
	now, all := time.Now(), ownAndOther(10, 20)
	const idle, quota = "i-3", 3
	for name, c := range map[string]struct {
		detector balance.OutlierDetector
		change   func(*balance.Balancer, *balance.Query)
		most     int
	}{
		"ejected":             {detector: ejecting(idle)},
		"leaving or limited":  {change: func(b *balance.Balancer, _ *balance.Query) { b.HonorNotices(withhold(idle)) }},
		"retries and hedges":  {change: func(_ *balance.Balancer, q *balance.Query) { q.Tried = []string{idle} }},
		"home regions":        {change: func(_ *balance.Balancer, q *balance.Query) { q.Allows = func(r string) bool { return r == "east" } }},
		"canary of a rollout": {change: func(_ *balance.Balancer, q *balance.Query) { q.Upstreams = q.Upstreams[4:] }},
		"cold": {most: quota, change: func(_ *balance.Balancer, q *balance.Query) {
			cold := *q.Upstreams[3]
			cold.ColdUntil = now.Add(time.Minute)
			q.Upstreams = slices.Clone(q.Upstreams)
			q.Upstreams[3] = &cold
		}},
	} {
		t.Run(name, func(t *testing.T) {
			report := func(b *balance.Balancer) {
				for _, u := range all {
					b.ObserveLoad(u, map[bool]int{true: 0, false: 2}[u.ID == idle], 0, now)
				}
			}
			q := balance.Query{Upstreams: all, Now: now}
			b := newEvenBalancer(quota, noneEjected{})
			report(b)
			require.Greater(t, chosenFor(t, b, q)[idle], 50, "it attracts requests otherwise")
			if c.detector != nil {
				b = newEvenBalancer(quota, c.detector)
			} else {
				b = newEvenBalancer(quota, noneEjected{})
			}
			if c.change != nil {
				c.change(b, &q)
			}
			report(b)
			require.LessOrEqual(t, chosenFor(t, b, q)[idle], c.most)
		})
	}
}

// Guards against decisions by what upstreams reported long ago: without reports for minutes,
// and for services that report nothing, requests go where they go without the feature.
func TestWithoutReportsRequestsAreServedAsBefore(t *testing.T) {
	now, all := time.Now(), twoRegions(12)
	random := rand.New(rand.NewPCG(1, 2))
	even, plain := newEvenBalancer(1, noneEjected{}), newBalancer(1)
	for _, u := range all {
		load := random.IntN(8)
		even.ObserveLoad(u, load, 0, now.Add(-5*time.Minute))
		plain.ObserveLoad(u, load, 0, now.Add(-5*time.Minute))
	}
	for range 2000 {
		q := balance.Query{Key: strconv.Itoa(random.IntN(100)), Upstreams: all, Now: now, Priority: random.IntN(4)}
		c, reason := even.Choose(q)
		want, wantReason := plain.Choose(q)
		require.Equal(t, wantReason, reason)
		require.Equal(t, want.Upstream.ID, c.Upstream.ID)
		if reason == balance.Chosen && random.IntN(3) > 0 {
			even.Done(c)
			plain.Done(want)
		}
	}
}

// Guards against the reports of a run that ended counting for the run that came back under
// its id.
func TestANewRunHasNoMeanOfThePreviousOne(t *testing.T) {
	b, now, all := newEvenBalancer(1, noneEjected{}), time.Now(), ownAndOther(20, 20)
	reportLoads(b, all, "i-3", true, now)
	again := *all[3]
	again.StartedAt = 20
	restarted := slices.Clone(all)
	restarted[3] = &again
	b.MergeLoadReports([]balance.LoadReport{{Run: all[3].Run(), Requests: 0}}, now) // late, of the old run
	require.LessOrEqual(t, chosenFor(t, b, balance.Query{Upstreams: restarted, Now: now})["i-3"], 80)
}

// Guards against a log that cannot tell why a key was not served where it is warm.
func TestAChoiceSaysWhichUpstreamWasPassedOver(t *testing.T) {
	now, all := time.Now(), ownAndOther(2, 2)
	even, plain := newEvenBalancer(1, noneEjected{}), newBalancer(1)
	q := balance.Query{Key: "k", Upstreams: all, Now: now}
	first := choose(t, plain, q).Upstream
	for _, b := range []*balance.Balancer{even, plain} {
		reportLoads(b, all, "", false, now)
		for _, u := range all {
			if u != first {
				b.ObserveLoad(u, 0, 0, now)
			}
		}
	}
	c := choose(t, even, q)
	require.NotEqual(t, first.ID, c.Upstream.ID)
	require.Equal(t, first.ID, c.PassedOver.Upstream)
	require.Greater(t, c.PassedOver.Expected, c.PassedOver.ChosenExpected)
	require.Zero(t, c.PassedOver.LoadAge)
	require.Nil(t, choose(t, plain, q).PassedOver)
}
