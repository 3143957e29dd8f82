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

// An isolated host must stop sending to upstreams before the other hosts can declare
// it dead, and must resume after it has read the roster.
func TestIsolatedHostStopsInTime(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		h := c.Host("costa-a-1")
		c.Net.Cut(func(a, _ string) bool { return a == "costa-a-1" })
		cutAt := time.Now()
		for h.Validated() {
			time.Sleep(10 * time.Millisecond)
		}
		stopped := time.Since(cutAt)
		t.Logf("stopped after %s", stopped)
		require.Less(t, stopped, member.LostTimeout)
		c.Net.Cut(nil)
		time.Sleep(5 * time.Second)
		require.True(t, h.Validated())
		_, err := clustertest.Ask(h, clustertest.Lookup("/x"))
		require.NoError(t, err)
	})
}

// Guards against the use of reassigned slots after a suspension: the monotonic clock
// stops while a machine is suspended, so the host assumed that it still held slots
// that had been assigned to other hosts in the meantime.
func TestASuspendedHostProvesItsSlotsFirst(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		h := c.Host("costa-a-1")
		require.True(t, h.Validated())
		c.Suspend("costa-a-1", time.Second)
		require.True(t, h.Validated(), "the suspension is too short to close the fence")
		c.Suspend("costa-a-1", 30*time.Second)
		require.False(t, h.Validated())
		time.Sleep(5 * time.Second)
		require.True(t, h.Validated(), "the host has read the roster of its zone")
	})
}

// A starting host must not serve clients before it holds slots or another host is
// responsive, and must serve soon after that.
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
		require.True(t, h.CanSend(), "the host is ready but has no target for requests")
		require.Less(t, time.Since(started), 2*entry.Tick)
	})
}
