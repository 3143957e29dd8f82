package entry_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/entry/clustertest"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/store"
)

// change returns a change that sets the share of the rule all.
func (c *cluster) change(id string, base uint64, share float64) config.Change {
	doc := fmt.Sprintf("[[rule]]\nname = \"all\"\nservice = \"planning\"\nselector = \"\"\nshare = %v\n", share)
	d, err := config.ParseDocument([]byte(doc))
	require.NoError(c.T, err)
	change, err := d.Change(id, base)
	require.NoError(c.T, err)
	return change
}

// revision returns the newest revision of the configuration in the log.
func (c *cluster) revision() uint64 {
	rev, err := config.NewLog(c.Memory, c.Memory).Head(context.Background())
	require.NoError(c.T, err)
	return rev
}

// watch polls the revisions of all hosts until stop is closed. If a revision
// decreases, it sends a message and ends. It closes the channel on stop.
func (c *cluster) watch(stop <-chan struct{}) (regressed chan string) {
	regressed = make(chan string, 1)
	go func() {
		seen := map[*entry.Host]uint64{}
		for {
			select {
			case <-stop:
				close(regressed)
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, h := range c.Live() {
				if rev := h.View().Revision(); rev < seen[h] {
					regressed <- fmt.Sprintf("%s regressed from %d to %d", h.Self().Host, seen[h], rev)
					return
				} else {
					seen[h] = rev
				}
			}
		}
	}()
	return regressed
}

// lagging returns the hosts that do not have a revision in force and are not
// frozen, so they do not detect that their configuration may be outdated.
func (c *cluster) lagging(rev uint64) []string {
	var out []string
	for _, h := range c.Live() {
		if h.View().Revision() < rev && !h.Frozen() {
			out = append(out, h.Self().Host)
		}
	}
	return out
}

// Guards against hosts that serve with an older configuration after a change was
// reported as accepted. Under each fault, every host must then have the change in
// force or be frozen, no host's revision may decrease, and all hosts must have the
// change after the fault.
func TestAcceptedIsInForce(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *cluster) // runs concurrently with the change
		state string
	}{
		{name: "nothing fails", state: configsync.StateAccepted},
		{name: "one zone cut off from the platform", state: configsync.StateAccepted, fault: func(c *cluster) {
			c.cutFromPlatform("sierra-a", 15*time.Second)
		}},
		{name: "one zone cut off from everything", state: configsync.StateAccepted, fault: func(c *cluster) { c.CutOff(15*time.Second, "sierra-a", "up-sierra-a") }},
		{name: "a host paused", state: configsync.StateAccepted, fault: func(c *cluster) { c.CutOff(15*time.Second, "sierra-a-2") }},
		{name: "platform responds slowly", state: configsync.StateAccepted, fault: func(c *cluster) {
			c.Memory.SetFault(func(_ string, after bool) error {
				if after {
					time.Sleep(300 * time.Millisecond)
				}
				return nil
			})
			time.Sleep(10 * time.Second)
			c.Memory.SetFault(nil)
		}},
		{name: "response of the write lost", state: configsync.StateAccepted, fault: func(c *cluster) { c.LoseResponses(time.Second) }},
		{name: "platform throttles every other call", state: configsync.StateAccepted, fault: func(c *cluster) {
			var n atomic.Int64
			c.Memory.SetFault(func(op string, after bool) error {
				if n.Add(1)%2 == 0 && !after && op != "transact" {
					return store.ErrThrottled
				}
				return nil
			})
			time.Sleep(10 * time.Second)
			c.Memory.SetFault(nil)
		}},
		{name: "zone cut off and a host of another zone restarted", state: configsync.StateAccepted, fault: func(c *cluster) {
			go c.CutOff(15*time.Second, "sierra-a", "up-sierra-a")
			c.Kill("costa-b-1")
			c.Start("costa-b-1")
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, clustertest.Anywhere, func(c *cluster) {
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				regressed := c.watch(ctx.Done())
				if tc.fault != nil {
					go tc.fault(c)
					time.Sleep(100 * time.Millisecond)
				}
				start := time.Now()
				applied, err := c.applyWithRetries("under-fault", 1)
				require.NoError(t, err)
				t.Logf("%s after %s", applied.State, time.Since(start))
				require.Equal(t, tc.state, applied.State)
				require.Empty(t, c.lagging(applied.Revision), "hosts have neither the accepted change in force nor frozen themselves")
				time.Sleep(30 * time.Second)
				for _, h := range c.Live() {
					require.Equal(t, applied.Revision, h.View().Revision(), h.Self().Host)
					require.False(t, h.Frozen(), h.Self().Host)
				}
				stop()
				require.Empty(t, <-regressed)
			})
		})
	}
}

// applyWithRetries submits a change to the first host. Like the command, it retries
// with the same ID while the outcome is unknown.
func (c *cluster) applyWithRetries(id string, base uint64) (configsync.Applied, error) {
	var applied configsync.Applied
	var err error
	for range 10 {
		applied, err = c.Host("costa-a-1").Apply(context.Background(), c.change(id, base, 0.9), 10*time.Second)
		if err == nil {
			return applied, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return applied, err
}

// cutFromPlatform cuts the hosts of a zone off from the platform for a time.
func (c *cluster) cutFromPlatform(zone string, d time.Duration) {
	c.Net.Cut(func(a, b string) bool { return strings.HasPrefix(a, zone) && b == "platform" })
	time.Sleep(d)
	c.Net.Cut(nil)
}

// While the platform is down, a host must refuse changes and continue to serve.
// The same change must be accepted after the platform is available again.
func TestPlatformDownRefusesChanges(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		go c.StoreDown(20 * time.Second)
		time.Sleep(100 * time.Millisecond)
		_, err := c.Host("costa-a-1").Apply(context.Background(), c.change("down", 1, 0.9), time.Second)
		require.Error(t, err)
		time.Sleep(7 * time.Second)
		for _, h := range c.Live() {
			require.True(t, h.Frozen(), "the host must freeze, because the newest revision is unknown")
			_, err := clustertest.Ask(h, clustertest.Lookup("/x"))
			require.NoError(t, err, "a frozen host must serve")
		}
		calls := c.Memory.Calls("get")
		time.Sleep(20 * time.Second)
		t.Logf("platform calls over the 20 s around its return: %d by %d hosts", c.Memory.Calls("get")-calls, len(c.Live()))
		applied, err := c.applyWithRetries("down", 1)
		require.NoError(t, err)
		require.Equal(t, configsync.StateAccepted, applied.State)
	})
}

// Of concurrent changes to one object, exactly one must be accepted, and the
// conflicts must name it. Concurrent changes to different objects must all be
// accepted. A change ID must be applied only once.
func TestRacingChanges(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		hosts := c.Live()
		type result struct {
			applied configsync.Applied
			err     error
		}
		results := make(chan result, len(hosts))
		for i, h := range hosts {
			go func() {
				a, err := h.Apply(context.Background(), c.change(fmt.Sprintf("same-%d", i), 1, 0.5), 0)
				results <- result{a, err}
			}()
		}
		won, winner := 0, ""
		var conflicts []*config.Conflict
		for range hosts {
			r := <-results
			var conflict *config.Conflict
			if errors.As(r.err, &conflict) {
				conflicts = append(conflicts, conflict)
				continue
			}
			require.NoError(t, r.err)
			won++
			winner = r.applied.Change
		}
		require.Equal(t, 1, won)
		for _, conflict := range conflicts {
			require.Equal(t, winner, conflict.WinnerID)
			require.Equal(t, "rule/all", conflict.Ref.String())
		}
		require.EqualValues(t, 2, c.revision())

		for i, h := range hosts {
			go func() {
				doc := fmt.Sprintf("[[zone]]\nname = \"new-%d\"\nregion = \"costa\"\n", i)
				d, _ := config.ParseDocument([]byte(doc))
				change, _ := d.Change(fmt.Sprintf("zone-%d", i), 1)
				a, err := h.Apply(context.Background(), change, 0)
				results <- result{a, err}
			}()
		}
		for range hosts {
			require.NoError(t, (<-results).err)
		}
		again, err := hosts[0].Apply(context.Background(), c.change(winner, 1, 0.5), 0)
		require.NoError(t, err)
		require.EqualValues(t, 2, again.Revision, "the same id is the same change")
		require.EqualValues(t, 2+len(hosts), c.revision())
	})
}

// The time from submitting a change until it is in force on every host must stay
// below 2 s.
func TestSpreadTime(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		var slowest, sum time.Duration
		const changes = 100
		for i := range changes {
			start := time.Now()
			applied, err := c.Host("costa-a-1").Apply(context.Background(), c.change(fmt.Sprintf("n-%d", i), uint64(i+1), 0.9), 0)
			require.NoError(t, err)
			for len(c.lagging(applied.Revision)) > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			took := time.Since(start)
			slowest = max(slowest, took)
			sum += took
			time.Sleep(300 * time.Millisecond)
		}
		t.Logf("in force everywhere: mean %s, slowest %s of %d changes", sum/changes, slowest, changes)
		require.Less(t, slowest, 2*time.Second)
	})
}

// A starting host that cannot reach the platform must fetch the configuration from
// peers that have a proof of its freshness.
func TestStartsFromPeers(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		c.Kill("costa-a-2")
		c.Net.Cut(func(a, b string) bool { return a == "costa-a-2" && b == "platform" })
		h := c.Start("costa-a-2")
		time.Sleep(10 * time.Second)
		require.True(t, h.Ready())
		require.Equal(t, c.revision(), h.View().Revision())
		_, err := clustertest.Ask(h, clustertest.Lookup("/x"))
		require.NoError(t, err)
		c.Net.Cut(nil)
	})
}

// Guards against assigning the revision of another host's change to an own change:
// a host that lags by one change submits its own, and the response of the write is
// lost.
func TestLostAnswerAfterAnothersChange(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		c.Apply("others", "[[zone]]\nname = \"new\"\nregion = \"costa\"\n", 1)
		c.LoseResponses(100 * time.Millisecond)
		h := c.Host("costa-a-1")
		require.EqualValues(t, 1, h.View().Revision(), "the host has not polled yet")
		applied, err := h.Apply(context.Background(), c.change("mine", 1, 0.9), 0)
		require.NoError(t, err)
		require.EqualValues(t, 3, applied.Revision)
		time.Sleep(5 * time.Second)
		log := config.NewLog(c.Memory, c.Memory)
		truth, err := log.CatchUp(context.Background(), config.NewState())
		require.NoError(t, err)
		for _, h := range c.Live() {
			require.Equal(t, truth.Digest(), h.View().State().Digest(), h.Self().Host)
		}
	})
}
