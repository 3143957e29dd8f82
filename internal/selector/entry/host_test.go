package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/entry/clustertest"
	"cairndock/internal/selector/member"
)

// TestIsolatedHostStopsInTime: a host that nobody answers stops sending to
// upstreams before its silence can count against it, and starts again once
// it has seen the roster.
func TestIsolatedHostStopsInTime(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		h := c.Host("costa-a-1")
		c.Net.Cut(func(a, _ string) bool { return a == "costa-a-1" })
		cut := time.Now()
		for h.Validated() {
			time.Sleep(10 * time.Millisecond)
		}
		stopped := time.Since(cut)
		t.Logf("stopped after %s", stopped)
		require.Less(t, stopped, member.LostTimeout)
		c.Net.Cut(nil)
		time.Sleep(5 * time.Second)
		require.True(t, h.Validated())
		_, err := clustertest.Ask(h, clustertest.Lookup("/x"))
		require.NoError(t, err)
	})
}

// A suspended machine's monotonic clock stands still: its host believed that it still
// held the slots that others had been given meanwhile.
func TestASuspendedHostProvesItsSlotsFirst(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		h := c.Host("costa-a-1")
		require.True(t, h.Validated())
		c.Suspend("costa-a-1", time.Second)
		require.True(t, h.Validated(), "shorter than a pause that counts")
		c.Suspend("costa-a-1", 30*time.Second)
		require.False(t, h.Validated())
		time.Sleep(5 * time.Second)
		require.True(t, h.Validated(), "it has read its zone's roster")
	})
}

// TestStartingHostOpensOnceItCanSend: callers are told to come back until
// the host holds slots or hears from a host that does.
func TestStartingHostOpensOnceItCanSend(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		h := c.Host("costa-a-1")
		h.Stop(context.Background())
		c.Kill("costa-a-1")
		h = c.Start("costa-a-1")
		started := time.Now()
		for !h.Serving() {
			time.Sleep(time.Millisecond)
		}
		require.True(t, h.CanSend(), "is ready, and can't send")
		require.Less(t, time.Since(started), 2*entry.Tick)
	})
}
