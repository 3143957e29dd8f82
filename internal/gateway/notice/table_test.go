package notice_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/upstream"
)

// fixedShare is a host's share of every limit.
type fixedShare int

func (f fixedShare) LimitShare(_, _ string, tokens int) notice.Share {
	return notice.Share{Tokens: min(int(f), tokens), Hosts: 9}
}

// recorder records the notifications of a table.
type recorder struct{ events []string }

func (r *recorder) LimitChanged(run upstream.Run, _ float64) {
	r.events = append(r.events, "limited "+string(run))
}
func (r *recorder) LimitEnded(run upstream.Run) { r.events = append(r.events, "ended "+string(run)) }
func (r *recorder) LeavingAnnounced(run upstream.Run) {
	r.events = append(r.events, "leaving "+string(run))
}
func (r *recorder) BackoffRequested(run upstream.Run, _ time.Duration) {
	r.events = append(r.events, "backoff "+string(run))
}

func newTable(share int) *notice.Table {
	return notice.NewTable("h", fixedShare(share), &recorder{})
}

func up(id string, startedAt int64) *upstream.Upstream {
	return &upstream.Upstream{Registration: upstream.Registration{ID: id, StartedAt: startedAt}}
}

var a = up("a", 0)

func limited(perSecond float64) notice.Notice {
	return notice.Notice{}.WithLimit(notice.LimitOf(perSecond))
}

// passes reports whether an upstream may receive a request.
func passes(t *notice.Table, u *upstream.Upstream, now time.Time) bool {
	return t.Withheld(u, now).Upstream == ""
}

// sendAll sends as many requests as pass, trying at each step of the period, and returns
// their number.
func sendAll(t *notice.Table, u *upstream.Upstream, from time.Time, period, step time.Duration) int {
	n := 0
	for at := from; at.Before(from.Add(period)); at = at.Add(step) {
		for passes(t, u, at) {
			t.Take(u, at)
			n++
		}
	}
	return n
}

func TestAnUpstreamWithoutALimitIsNeverWithheld(t *testing.T) {
	table, now := newTable(1), time.Now()
	require.True(t, passes(table, a, now))
	table.Take(a, now)
	table.Observe(a.Run(), limited(1), now, now)
	require.True(t, passes(table, up("b", 0), now))
	require.True(t, passes(table, up("a", 7), now), "another run under the id has announced nothing")
}

func TestAHostSendsItsShareOfALimit(t *testing.T) {
	for _, c := range []struct {
		limit           float64
		share, minCount int
	}{
		{0, 3, 2}, {0.3, 4, 2}, {6, 9, 55}, {6, 1, 5}, {6, 0, 0}, {60, 58, 590}, {60, 1, 9},
	} {
		table, now := newTable(c.share), time.Now()
		table.Observe(a.Run(), limited(c.limit), now, now)
		n := sendAll(table, a, now, 10*time.Second, 5*time.Millisecond)
		require.GreaterOrEqual(t, n, c.minCount, "limit %g, share %d", c.limit, c.share)
		require.LessOrEqual(t, float64(n), math.Max(c.limit, 0.25)*10+1, "limit %g, share %d: the bucket starts without tokens", c.limit, c.share)
	}
}

// After a time without requests, the bucket is full. A burst must still stay within the
// platform's bound over any four seconds.
func TestAccumulatedTokensStayWithinTheBound(t *testing.T) {
	for _, limit := range []float64{0, 0.3, 1, 6, 60, 600} {
		table, now := newTable(math.MaxInt32), time.Now()
		table.Observe(a.Run(), limited(limit), now, now)
		n := sendAll(table, a, now.Add(20*time.Second), 4500*time.Millisecond, time.Millisecond)
		require.LessOrEqual(t, float64(n), 1.5*4*limit+5, "limit %g", limit)
	}
}

func TestResponsesToLaterRequestsDetermineTheLimit(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	type observation struct {
		n             notice.Notice
		sent, arrived int
	}
	none := notice.Notice{}
	for _, c := range []struct {
		name         string
		observations []observation
		want         float64 // -1 is none
	}{
		{"a limit", []observation{{limited(5), 0, 10}}, 5},
		{"a response to a later request ends it", []observation{{limited(5), 0, 10}, {none, 20, 30}}, -1},
		{"a delayed response does not end it", []observation{{limited(5), 0, 10}, {none, 5, 30}}, 5},
		{"any response lowers it", []observation{{limited(5), 0, 10}, {limited(2), 5, 30}}, 2},
		{"a response to a later request raises it", []observation{{limited(5), 0, 10}, {limited(8), 20, 30}}, 8},
		{"a delayed response does not raise it", []observation{{limited(5), 0, 10}, {limited(8), 5, 30}}, 5},
		{"a delayed response does not restore an ended limit", []observation{{limited(5), 0, 10}, {none, 20, 30}, {limited(5), 25, 35}}, -1},
		{"a later limit replaces an ended one", []observation{{limited(5), 0, 10}, {none, 20, 30}, {limited(5), 31, 40}}, 5},
		{"a malformed limit changes nothing", []observation{{limited(5), 0, 10}, {none.WithLimit(notice.MalformedLimit()), 20, 30}}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(0)
			for _, o := range c.observations {
				table.Observe(a.Run(), o.n, at(o.sent), at(o.arrived))
			}
			w := table.Withheld(a, at(50))
			if c.want < 0 {
				require.Zero(t, w)
				return
			}
			require.Equal(t, c.want, w.PerSecond)
		})
	}
}

func TestOnlyNewerReportsOfOtherHostsAreApplied(t *testing.T) {
	now := time.Now()
	later := now.Add(3 * time.Second)
	ended := func(at time.Time) []notice.Report {
		return []notice.Report{{Run: "a", Ended: true, AgeMS: later.Sub(at).Milliseconds()}}
	}
	first := newTable(0)
	first.Observe(a.Run(), limited(5), now, now.Add(time.Second))
	other := newTable(0)
	other.Merge(first.Reports(later), later)
	require.Equal(t, 5.0, other.Withheld(a, later).PerSecond, "learned from another host, before any response")

	other.Merge(ended(now), later)
	require.Equal(t, 5.0, other.Withheld(a, later).PerSecond, "an older report")
	other.Merge(ended(now.Add(2*time.Second)), later)
	require.True(t, passes(other, a, later))
	other.Merge(first.Reports(later), later)
	require.True(t, passes(other, a, later), "the limit was reported before its end")

	other.Merge([]notice.Report{{Run: "b", PerSecond: math.NaN()}, {Run: "c", PerSecond: -1}}, later)
	require.True(t, passes(other, up("b", 0), later))
	require.True(t, passes(other, up("c", 0), later))
}

// A host without a share receives no responses from the upstream and depends on other hosts
// to confirm the limit. If no host does for long, the host must probe with one request;
// otherwise it would never send there again.
func TestAnUnconfirmedLimitIsProbed(t *testing.T) {
	table, now := newTable(0), time.Now()
	table.Observe(a.Run(), limited(5), now, now)
	require.Zero(t, sendAll(table, a, now, 89*time.Second, time.Second))
	require.Equal(t, 1, sendAll(table, a, now.Add(89*time.Second), 91*time.Second, time.Second))
	probed := now.Add(181 * time.Second)
	table.Observe(a.Run(), limited(5), probed, probed)
	require.Zero(t, sendAll(table, a, probed, 89*time.Second, time.Second), "the probe confirmed the limit")
	table.Suspended(3 * time.Minute)
	require.Equal(t, 1, sendAll(table, a, probed, time.Second, time.Second), "the machine was suspended for longer than the probe interval")
}

// A leaving run must not become usable again because of a delayed response without the
// announcement, or because its row is removed and written again. Another run under its id
// is not leaving.
func TestALeavingRunReceivesNoMoreRequests(t *testing.T) {
	rec, now := &recorder{}, time.Now()
	table := notice.NewTable("h", fixedShare(1), rec)
	require.True(t, table.MaySend(a, now))
	for range 2 {
		table.Observe(a.Run(), notice.Notice{}.WithLeaving(), now, now)
	}
	table.Observe(a.Run(), notice.Notice{}, now.Add(time.Minute), now.Add(time.Minute))
	table.Suspended(time.Minute)
	table.Retain(func(upstream.Run) bool { return true }, now.Add(50*time.Minute))
	table.Retain(func(upstream.Run) bool { return false }, now.Add(50*time.Minute+50*time.Second))
	require.Equal(t, "a", table.Withheld(a, now.Add(51*time.Minute)).Upstream)
	require.False(t, table.MaySend(a, now), "a request that waited")
	require.True(t, passes(table, up("a", 7), now))
	require.Equal(t, []string{"leaving a"}, rec.events, "notified once")

	other := notice.NewTable("o", fixedShare(1), rec)
	other.Merge(table.Reports(now), now)
	require.False(t, passes(other, a, now), "another host learns of it")

	table.Retain(func(upstream.Run) bool { return false }, now.Add(52*time.Minute))
	require.True(t, passes(table, a, now), "dropped after the run was deregistered for long")
}

func TestAnUpstreamReceivesNothingDuringItsBackoff(t *testing.T) {
	rec, now := &recorder{}, time.Now()
	table := notice.NewTable("h", fixedShare(1), rec)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	backoff := func(d time.Duration) notice.Notice { return notice.Notice{}.WithBackoff(d) }
	table.Observe(a.Run(), backoff(3*time.Second), now, now)
	table.Observe(a.Run(), backoff(time.Second), now, after(500*time.Millisecond))
	table.Observe(a.Run(), notice.Notice{}, after(time.Second), after(time.Second))
	require.Equal(t, time.Second, table.Withheld(a, after(2*time.Second)).For, "neither a shorter backoff nor a response without one ends it")
	require.False(t, table.MaySend(a, after(2*time.Second)), "a request that waited")
	require.True(t, passes(table, up("a", 7), now), "another run has requested no backoff")
	other := newTable(1)
	other.Merge(table.Reports(after(time.Second)), after(time.Second))
	require.True(t, passes(other, a, after(time.Second)), "the backoff does not bind other hosts")
	require.True(t, other.BackoffElsewhere(a.Run(), after(2*time.Second)))
	require.False(t, other.BackoffElsewhere(a.Run(), after(4*time.Second)))
	require.False(t, table.BackoffElsewhere(a.Run(), after(time.Second)))
	require.True(t, passes(table, a, after(3*time.Second)))
	require.True(t, table.MaySend(a, after(3*time.Second)))
	table.Retain(func(upstream.Run) bool { return true }, after(2*time.Second))
	require.False(t, passes(table, a, after(2*time.Second)))
	table.Retain(func(upstream.Run) bool { return true }, after(3*time.Second))
	table.Observe(a.Run(), backoff(time.Second), after(3*time.Second), after(3*time.Second))
	require.Equal(t, []string{"backoff a", "backoff a"}, rec.events, "each backoff once")
}

// An upstream's row may be missing for a while, such as when another writer overwrites it.
// Once the row is written again, the run is the same and its notices must still apply.
func TestNoticesOfDeregisteredRunsAreDroppedAfterAWhile(t *testing.T) {
	table, now := newTable(1), time.Now()
	table.Observe(a.Run(), limited(5), now, now)
	require.Equal(t, 1, table.Limits())
	table.Retain(func(upstream.Run) bool { return true }, now)
	table.Retain(func(upstream.Run) bool { return false }, now.Add(59*time.Second))
	require.Equal(t, 1, table.Limits())
	now = now.Add(time.Minute)
	table.Retain(func(upstream.Run) bool { return false }, now)
	require.Zero(t, table.Limits())
	require.Empty(t, table.Reports(now))
}

func TestAHeartbeatHasABoundedNumberOfReports(t *testing.T) {
	table, now := newTable(1), time.Now()
	for i := range 1000 {
		table.Observe(up("u", int64(i+1)).Run(), limited(5), now, now.Add(time.Duration(i)*time.Millisecond))
	}
	got := table.Reports(now.Add(time.Second))
	require.Len(t, got, 32)
	require.Equal(t, upstream.Run("u@1000"), got[0].Run, "the most recent report comes first")
}

func TestChangesAreReportedOnce(t *testing.T) {
	rec, now := &recorder{}, time.Now()
	table := notice.NewTable("h", fixedShare(1), rec)
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		table.Observe(a.Run(), limited(5), at, at)
	}
	for i := 3; i < 6; i++ {
		at := now.Add(time.Duration(i) * time.Second)
		table.Observe(a.Run(), notice.Notice{}, at, at)
	}
	require.Equal(t, []string{"limited a", "ended a"}, rec.events)
}

// Heartbeats carry recent changes and, every announceInterval, limits that are still in
// force. If each heartbeat reported every leaving run, these reports would fill the
// heartbeats for as long as the runs are known.
func TestHeartbeatsCarryRecentChanges(t *testing.T) {
	table, now := newTable(1), time.Now()
	after := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	table.Observe(a.Run(), limited(5).WithLeaving(), now, now)
	require.Len(t, table.Reports(after(2)), 2)
	require.Empty(t, table.Reports(after(3)))
	table.Observe(a.Run(), limited(5), after(5), after(5))
	require.Empty(t, table.Reports(after(5)), "the limit was reported within the announce interval")
	table.Observe(a.Run(), limited(5), after(11), after(11))
	require.Equal(t, []notice.Report{{Run: "a", PerSecond: 5}}, table.Reports(after(11)))
	require.Empty(t, table.Reports(after(14)))
	table.Observe(a.Run(), limited(4), after(15), after(15))
	require.Len(t, table.Reports(after(15)), 1, "the limit has changed")
	table.Observe(a.Run(), notice.Notice{}, after(20), after(20))
	require.Equal(t, []notice.Report{{Run: "a", PerSecond: 4, Ended: true}}, table.Reports(after(20)))
}

func BenchmarkWithheld(b *testing.B) {
	now := time.Now()
	for name, table := range map[string]*notice.Table{"no limit": newTable(1), "limits": newTable(1)} {
		if name == "limits" {
			for i := range 1000 {
				table.Observe(up("u", int64(i+1)).Run(), limited(5), now, now)
			}
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Withheld(a, now)
			}
		})
	}
}
