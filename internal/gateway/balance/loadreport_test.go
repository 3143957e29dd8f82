package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
)

// loadOf returns a balancer's estimate for its only upstream, without an outstanding request.
func loadOf(t *testing.T, b *balance.Balancer, u *upstream.Upstream, now time.Time) float64 {
	t.Helper()
	c := choose(t, b, balance.Query{Key: "k", Upstreams: []*upstream.Upstream{u}, Now: now})
	b.Done(c)
	return c.Load
}

// Guards against reports that replace newer knowledge or come from a host with a wrong clock.
func TestOnlyNewerReportsOfOtherHostsAreMerged(t *testing.T) {
	now, u := time.Now(), newUpstream("u", "west-1", "west")
	for name, c := range map[string]struct {
		report balance.LoadReport
		want   float64
	}{
		"newer":                {balance.LoadReport{Run: u.Run(), Requests: 4, Age: 0}, 1},
		"negative age":         {balance.LoadReport{Run: u.Run(), Requests: 4, Age: -1}, 0.25},
		"older than known":     {balance.LoadReport{Run: u.Run(), Requests: 4, Age: time.Second}, 0.25},
		"as old as known":      {balance.LoadReport{Run: u.Run(), Requests: 4, Age: 500 * time.Millisecond}, 0.25},
		"age overflows":        {balance.LoadReport{Run: u.Run(), Requests: 4, Age: 1<<63 - 1}, 0.25},
		"negative requests":    {balance.LoadReport{Run: u.Run(), Requests: -4, Age: 0}, 0.25},
		"of another run":       {balance.LoadReport{Run: u.Run() + "@1", Requests: 4, Age: 0}, 0.25},
		"newer, of fewer ones": {balance.LoadReport{Run: u.Run(), Requests: 0, Age: 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(1)
			b.ObserveLoad(u, 2, 0, now.Add(-500*time.Millisecond)) // half decayed: 1 of 4
			b.MergeLoadReports([]balance.LoadReport{c.report}, now)
			require.InDelta(t, c.want, loadOf(t, b, u, now), 1e-9)
		})
	}
}

// Guards against this host's requests counting twice: as its own and in the report.
func TestMergedReportsCountEachRequestOnce(t *testing.T) {
	b, start, u := newBalancer(1), time.Now(), newUpstream("u", "west-1", "west")
	q := balance.Query{Key: "k", Upstreams: []*upstream.Upstream{u}, Now: start}
	first := choose(t, b, q)
	q.Now = start.Add(200 * time.Millisecond)
	choose(t, b, q)
	// The report was made between the two requests: the first one and two of other hosts.
	q.Now = start.Add(300 * time.Millisecond)
	b.MergeLoadReports([]balance.LoadReport{{Run: u.Run(), Requests: 3, Age: 200 * time.Millisecond}}, q.Now)
	const others = 2 * 0.8 // at an age of a fifth of the TTL
	c := choose(t, b, q)
	require.InDelta(t, (2+others)/4, c.Load, 1e-9)
	b.Done(c)
	b.Done(first)
	require.InDelta(t, (1+others)/4, loadOf(t, b, u, q.Now), 1e-9)
}

// A host meets an upstream of which others have reported for the first time.
func TestReportsOfRunsWithoutStateAreUsedLater(t *testing.T) {
	b, now, u := newBalancer(1), time.Now(), newUpstream("u", "west-1", "west")
	b.MergeLoadReports([]balance.LoadReport{{Run: u.Run(), Requests: 4}}, now)
	b.MergeLoadReports([]balance.LoadReport{{Run: u.Run(), Requests: 2, Age: time.Millisecond}}, now)
	require.InDelta(t, 1, loadOf(t, b, u, now), 1e-9)

	// A run that ended leaves nothing for the run that follows, nor for itself.
	b.MergeLoadReports([]balance.LoadReport{{Run: "v", Requests: 4}}, now)
	b.Retain(func(run upstream.Run) bool { return run != "v" }, now)
	require.Zero(t, loadOf(t, b, newUpstream("v", "west-1", "west"), now))
}

// Guards against memory that grows with the runs that other hosts name.
func TestReportsOfUnknownRunsAreBounded(t *testing.T) {
	b, now := newBalancer(1), time.Now()
	merge := func(prefix string) {
		var reports []balance.LoadReport
		for i := range 2 * balance.MaxUnclaimed {
			reports = append(reports, balance.LoadReport{Run: upstream.Run(prefix + strconv.Itoa(i)), Requests: 4})
		}
		b.MergeLoadReports(reports, now)
		require.LessOrEqual(t, b.Unclaimed(), balance.MaxUnclaimed)
	}
	merge("a")
	now = now.Add(10 * time.Second)
	merge("b")
	require.InDelta(t, 1, loadOf(t, b, newUpstream("b0", "west-1", "west"), now), 1e-9, "expired reports make room")
}

// Guards against reports that go around between hosts and become new again.
func TestLoadReportsAreThoseReceivedFromUpstreams(t *testing.T) {
	b, now := newBalancer(1), time.Now()
	u, v, old := newUpstream("u", "west-1", "west"), newUpstream("v", "west-1", "west"), newUpstream("old", "west-1", "west")
	b.ObserveLoad(old, 1, 0, now.Add(-2*time.Second))
	b.ObserveLoad(u, 1, 0, now.Add(-300*time.Millisecond))
	b.ObserveLoad(u, 2, 1, now.Add(-200*time.Millisecond))
	b.ObserveLoad(v, 4, 0, now.Add(-100*time.Millisecond))
	b.MergeLoadReports([]balance.LoadReport{{Run: u.Run(), Requests: 9}, {Run: "w", Requests: 9}}, now)
	require.Equal(t, []balance.LoadReport{
		{Run: "v", Requests: 4, Age: 100 * time.Millisecond},
		{Run: "u", Requests: 3, Age: 200 * time.Millisecond},
	}, b.LoadReports(time.Second, now))
	require.Empty(t, b.LoadReports(time.Second, now.Add(-time.Minute)), "reports of the future")
}
