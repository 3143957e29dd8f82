package routing_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// restored returns an update by a store that was restored from an older copy.
func restored(rows ...watch.Row) watch.Update {
	u := watch.Update{Full: true, Restored: true, StoreReturned: time.Now()}
	for _, r := range rows {
		u.Reverted = append(u.Reverted, watch.Reverted{Row: r, Known: 1})
	}
	return u
}

func TestAnEvacuationStaysInForceWhileARestoredStoreLacksIt(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name string
		// then is the action of the operator or the store a second after the restore.
		then func(h host)
		// soon, before and after are whether the zone serves requests a second after that,
		// just before the end of the grace period, and at its end.
		soon, before, after bool
	}{
		{"the operator does nothing", func(host) {}, false, false, true},
		{"the evacuation is written again", func(h host) { h.operator(row("a", "evacuate z")) }, false, false, false},
		{"it is written again and deleted", func(h host) { h.operator(row("a", "evacuate z")); h.operator(deleted("a")) }, true, true, true},
		{"the new row and its deletion come in one response", func(h host) { h.operator(deleted("a")) }, true, true, true},
		{"the store is restored again", func(h host) { h.state.OperatorSink().Apply(restored()) }, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost()
				defer h.log.Close()
				h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z")}})
				h.operator(row("a", "evacuate z"))
				require.Empty(t, h.serving())
				h.state.OperatorSink().Apply(restored(deleted("a")))
				require.Empty(t, h.serving())
				time.Sleep(second)
				c.then(h)
				time.Sleep(second)
				require.Equal(t, c.soon, len(h.serving()) > 0)
				time.Sleep(upstream.RestoreGrace - 2*second - time.Millisecond)
				require.Equal(t, c.before, len(h.serving()) > 0)
				time.Sleep(time.Millisecond)
				synctest.Wait()
				require.Equal(t, c.after, len(h.serving()) > 0)
				time.Sleep(2 * second)
				if c.name == "the store is restored again" {
					require.NotEmpty(t, h.serving())
				}
			})
		})
	}
}

func TestAnEvacuationThatARestoredStoreStillHasIsInForce(t *testing.T) {
	h := newHost()
	defer h.log.Close()
	h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z")}})
	h.operator(row("a", "evacuate z"))
	h.operator(deleted("a"))
	require.NotEmpty(t, h.serving())
	h.state.OperatorSink().Apply(restored(row("a", "evacuate z")))
	require.Empty(t, h.serving(), "its end may be lost, or the zone was evacuated again")
	h.operator(deleted("a"))
	require.NotEmpty(t, h.serving())
}

func TestAConfigurationNeverGoesBackToThatOfARestoredStore(t *testing.T) {
	h := newHost()
	defer h.log.Close()
	h.operator(row("config", "config 7"))
	h.state.OperatorSink().Apply(restored(row("config", "config 5")))
	require.EqualValues(t, 7, h.state.Config().Version)
	h.state.OperatorSink().Apply(restored(deleted("config")))
	require.EqualValues(t, 7, h.state.Config().Version)
	h.operator(row("config", "config 8"))
	require.EqualValues(t, 8, h.state.Config().Version)
}

func TestUpstreamEntriesOfARestoredStoreAreAppliedAfterTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z"), row("i-2", "upstream z"), row("i-3", "upstream z")}})
		h.upstreams(watch.Update{Rows: []watch.Row{deleted("i-1")}})
		require.Equal(t, []string{"i-2", "i-3"}, h.serving())
		h.upstreams(restored(row("i-1", "upstream z"), deleted("i-2")))
		require.Equal(t, []string{"i-2", "i-3"}, h.serving(), "a removed upstream is not added again, a missing one is not removed")
		h.upstreams(watch.Update{Rows: []watch.Row{deleted("i-1"), row("i-4", "upstream z")}})
		time.Sleep(upstream.RestoreGrace)
		synctest.Wait()
		require.Equal(t, []string{"i-3", "i-4"}, h.serving(), "neither was written again")
		lines := h.logged()
		require.Contains(t, lines, "entry of a restored store, ignored for now")
		require.Contains(t, lines, "gone, entry did not come back")
	})
}

// A host that was cut off for a long time would otherwise send requests to upstreams that
// left in the meantime.
func TestAnUpstreamThatWasRemovedBeforeTheCopyIsRemovedAtOnce(t *testing.T) {
	h := newHost()
	defer h.log.Close()
	h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z"), row("i-2", "upstream z")}})
	u := restored(deleted("i-1"), deleted("i-2"))
	u.Reverted[0].Known, u.Reverted[1].Known, u.Shared = 5, 7, 6
	h.upstreams(u)
	require.Equal(t, []string{"i-2"}, h.serving())
}
