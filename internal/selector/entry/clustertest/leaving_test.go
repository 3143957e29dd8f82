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

// A leaving upstream must receive no new requests more than 2 s after the first
// report, even if a source that lags still reports it as live.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	const name = "up-costa-a-1"
	cases := []struct {
		name     string
		announce func(c *Cluster)
	}{
		{"by the configuration", func(c *Cluster) { c.leave(name) }},
		{"by its own announcement", func(c *Cluster) { c.Upstreams[name].Drain() }},
		{"by the platform's list, which then reverts", func(c *Cluster) {
			c.Memory.SetHost(name, store.Leaving)
			time.AfterFunc(3*time.Second, func() { c.Memory.SetHost(name, store.Live) })
		}},
		{"by its own announcement while the platform is down", func(c *Cluster) {
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
				announcedAt := time.Now()
				tc.announce(c)
				c.Load(100, 10*time.Second)
				last := c.Upstreams[name].Ledger().LastNew.Sub(announcedAt)
				t.Logf("last new request %s after the announcement", last)
				// The platform's list is read every 2 s, which delays an
				// announcement there.
				require.Less(t, last, 2*time.Second+rosters.HostsInterval)
				if strings.Contains(tc.name, "list") || strings.Contains(tc.name, "own announcement") {
					c.restartUpstream(name)
					c.Load(100, 6*time.Second)
					require.Positive(t, c.Upstreams[name].Ledger().Runs, "a new instance must receive requests")
				}
				require.Zero(t, c.Over())
			})
		})
	}
}

// restartUpstream replaces an upstream by a new instance.
func (c *Cluster) restartUpstream(name string) {
	require.NoError(c.T, c.Upstreams[name].Close())
	time.Sleep(100 * time.Millisecond)
	c.StartUpstream(name, "2")
}

// Replacing every host in turn by planned stops must cut no request under load, and
// at most 1 % of the requests may be refused.
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
			h := c.entryFor(i)
			wait.Go(func() { out.One(h, fmt.Sprintf("/tracks/%d", i)) })
		}
	})
}

// entryFor queries the directory of a host, like a client, and returns the first
// live host that it lists. Hosts that are starting are not queried.
func (c *Cluster) entryFor(i int) *entry.Host {
	hosts := slices.DeleteFunc(c.Live(), func(h *entry.Host) bool { return !h.Serving() })
	queried := hosts[i%len(hosts)]
	response, err := queried.EntriesFor("planning", netip.MustParseAddr("127.0.0.1"))
	require.NoError(c.T, err)
	var list directory.Entries
	require.NoError(c.T, json.Unmarshal(response, &list))
	for _, e := range list.Entries {
		if h := c.Host(e.Host); h != nil {
			return h
		}
	}
	return queried
}

// replace stops a host by a planned stop and starts its next incarnation.
func (c *Cluster) replace(t *testing.T, name string) {
	h := c.Host(name)
	report := h.Stop(context.Background())
	require.Zero(t, report.Cut, name)
	require.True(t, report.HandedOver, name)
	c.Kill(name)
	c.Start(name)
	time.Sleep(5 * time.Second)
}

// A planned stop must wait for a request that lasts longer than the grace period
// and must not cut it.
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

// A planned stop that ends early must report the requests that it cut. The context
// ends as it does at the end of the window or on a second signal.
func TestStopReportsCutRequests(t *testing.T) {
	Run(t, Anywhere, func(c *Cluster) {
		h := c.Host("costa-b-1")
		defer h.InFlight()()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		report := h.Stop(ctx)
		require.EqualValues(t, 1, report.Cut)
	})
}
