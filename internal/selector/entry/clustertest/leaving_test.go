package clustertest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/entry/directory"
	"cairndock/internal/selector/entry/rosters"
	"cairndock/internal/selector/store"
	"cairndock/internal/verdict"
)

// leave marks an upstream as leaving in the configuration.
func (c *Cluster) leave(name string) {
	doc := fmt.Sprintf("[[upstream]]\nname = %q\nservice = \"planning\"\nzone = \"costa-a\"\naddr = %q\nslots = %d\nstate = \"leaving\"\n", name, name+":1", UpstreamSlots)
	d, err := config.ParseDocument([]byte(doc))
	require.NoError(c.T, err)
	change, err := d.Change("leave-"+name, 1)
	require.NoError(c.T, err)
	_, err = c.Host("sierra-a-1").Apply(context.Background(), change, 0)
	require.NoError(c.T, err)
}

// TestLeavingUpstreamGetsNoNewWork: from the first report on, no new request
// reaches it after 2 s, and no source that lags brings it back.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	const name = "up-costa-a-1"
	cases := []struct {
		name string
		sign func(c *Cluster)
	}{
		{"by the configuration", func(c *Cluster) { c.leave(name) }},
		{"by its own word", func(c *Cluster) { c.Upstreams[name].Drain() }},
		{"by the platform's list, which then goes back", func(c *Cluster) {
			c.Memory.SetHost(name, store.Leaving)
			time.AfterFunc(3*time.Second, func() { c.Memory.SetHost(name, store.Live) })
		}},
		{"by its own word while the platform is down", func(c *Cluster) {
			go c.StoreDown(8 * time.Second)
			c.Upstreams[name].Drain()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			Run(t, Anywhere, func(c *Cluster) {
				c.Load(100, 3*time.Second)
				require.Positive(t, c.Upstreams[name].Ledger().Runs)
				signed := time.Now()
				tc.sign(c)
				c.Load(100, 10*time.Second)
				last := c.Upstreams[name].Ledger().LastNew.Sub(signed)
				t.Logf("last new request %s after the sign", last)
				// The platform's list is read every 2 s, the sign's age there.
				require.Less(t, last, 2*time.Second+rosters.HostsInterval)
				if strings.Contains(tc.name, "list") || strings.Contains(tc.name, "own word") {
					c.restartUpstream(name)
					c.Load(100, 6*time.Second)
					require.Positive(t, c.Upstreams[name].Ledger().Runs, "a new instance gets work")
				}
				require.Zero(t, c.Over())
			})
		})
	}
}

func (c *Cluster) restartUpstream(name string) {
	require.NoError(c.T, c.Upstreams[name].Close())
	time.Sleep(100 * time.Millisecond)
	c.StartUpstream(name, "2")
}

// TestPlannedStopCutsNothing replaces every host in turn under load.
func TestPlannedStopCutsNothing(t *testing.T) {
	Run(t, Anywhere, func(c *Cluster) {
		stopped := make(chan struct{})
		out := Counts{Reasons: map[verdict.Reason]int{}}
		var wait sync.WaitGroup
		go func() {
			defer close(stopped)
			for _, name := range hostNames {
				c.replace(t, name)
			}
		}()
		for i := 0; ; i++ {
			select {
			case <-stopped:
				wait.Wait()
				t.Logf("answered %d, refused %d %v, in doubt %d, slowest %s", out.Good, out.Refused, out.Reasons, out.Doubt, out.Slowest)
				require.Zero(t, out.Doubt+out.Wrong, "requests cut")
				require.LessOrEqual(t, out.Refused, out.Good/100)
				require.Zero(t, c.Over())
				return
			case <-time.After(20 * time.Millisecond):
			}
			h := c.entryOf(i)
			wait.Go(func() { out.One(h, fmt.Sprintf("/tracks/%d", i)) })
		}
	})
}

// entryOf asks a host which to use, as callers do: one that is starting
// still sends them on to another.
func (c *Cluster) entryOf(i int) *entry.Host {
	hosts := slices.DeleteFunc(c.Live(), func(h *entry.Host) bool { return !h.Serving() })
	asked := hosts[i%len(hosts)]
	answer, err := asked.EntriesFor("planning", netip.MustParseAddr("127.0.0.1"))
	require.NoError(c.T, err)
	var named directory.Entries
	require.NoError(c.T, json.Unmarshal(answer, &named))
	for _, e := range named.Entries {
		if h := c.Host(e.Host); h != nil {
			return h
		}
	}
	return asked
}

// replace stops a host as planned and starts its next incarnation.
func (c *Cluster) replace(t *testing.T, name string) {
	h := c.Host(name)
	report := h.Stop(context.Background())
	require.Zero(t, report.Cut, name)
	require.True(t, report.HandedOver, name)
	c.Kill(name)
	c.Start(name)
	time.Sleep(5 * time.Second)
}

// TestStopWaitsForLongDownloads: a request that lasts longer than the grace
// is not cut, and neither is one that a peer sent on.
func TestStopWaitsForLongDownloads(t *testing.T) {
	const length = 20 * time.Second
	Run(t, Anywhere, func(c *Cluster) {
		h := c.Host("costa-b-1")
		time.AfterFunc(length, h.InFlight())
		report := h.Stop(context.Background())
		t.Logf("stop took %s", report.Waited)
		require.Zero(t, report.Cut)
		require.GreaterOrEqual(t, report.Waited, length)
		require.Less(t, report.Waited, length+2*time.Second)
	})
}

// TestStopSaysWhatItCut: the end of the window, or a second signal.
func TestStopSaysWhatItCut(t *testing.T) {
	Run(t, Anywhere, func(c *Cluster) {
		h := c.Host("costa-b-1")
		defer h.InFlight()()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		report := h.Stop(ctx)
		require.EqualValues(t, 1, report.Cut)
	})
}
