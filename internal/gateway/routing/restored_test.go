package routing_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// restored is an update by a store that came back from an older copy.
func restored(reverted ...watch.Row) watch.Update {
	return watch.Update{Full: true, Restored: true, StoreReturned: time.Now(), Reverted: reverted}
}

func TestUpstreamsOfARestoredStoreAreTakenWithCare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z"), row("i-2", "upstream z"), row("i-3", "upstream z")}})
		h.upstreams(watch.Update{Rows: []watch.Row{deleted("i-1")}})
		require.Equal(t, []string{"i-2", "i-3"}, h.serving())
		h.upstreams(restored(row("i-1", "upstream z"), deleted("i-2")))
		require.Equal(t, []string{"i-2", "i-3"}, h.serving(), "one that is gone is not back, one that is missing not gone")
		h.upstreams(watch.Update{Rows: []watch.Row{deleted("i-1"), row("i-4", "upstream z")}})
		time.Sleep(upstream.RestoreGrace)
		synctest.Wait()
		require.Equal(t, []string{"i-3", "i-4"}, h.serving(), "neither was written again")
		lines := h.logged()
		require.Contains(t, lines, "entry of a restored store, ignored for now")
		require.Contains(t, lines, "gone, entry did not come back")
	})
}
