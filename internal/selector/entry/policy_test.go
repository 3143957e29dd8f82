package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/clustertest"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/standin"
)

const cappedRules = `
[[rule]]
name = "capped"
service = "planning"
selector = "zone=sierra-a"
share = 0.3
cap = %v
[[rule]]
name = "rest"
service = "planning"
selector = "zone!=sierra-a"
share = 0.7
`

// A rule must never receive more than its cap of all requests that the hosts
// received, plus one request for each host that enforces the cap. This applies
// during failover, retries, restarts and a change under load.
func TestCapHoldsOverTheFleet(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *cluster)
		// hosts is the number of incarnations of hosts, each of which enforces the
		// cap by its own count.
		hosts int
	}{
		{"nothing fails", func(*cluster) {}, 5},
		{"the other rule's zones fail", func(c *cluster) {
			for name, u := range c.Upstreams {
				if strings.HasPrefix(name, "up-costa") {
					u.SetFaults(standin.Faults{DropBefore: true})
				}
			}
		}, 5},
		{"the other rule's upstreams shed", func(c *cluster) {
			for name, u := range c.Upstreams {
				if strings.HasPrefix(name, "up-costa") {
					u.SetFaults(standin.Faults{Shed: true})
				}
			}
		}, 5},
		{"a host restarted", func(c *cluster) {
			c.Kill("costa-a-1")
			c.Start("costa-a-1")
		}, 6},
		{"platform down", func(c *cluster) { c.StoreDown(10 * time.Second) }, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, fmt.Sprintf(cappedRules, 0.4), func(c *cluster) {
				time.AfterFunc(time.Second, func() { tc.fault(c) })
				out := c.Load(60, 15*time.Second)
				offered := out.Good + out.Refused + out.Doubt
				runs := c.runsIn("sierra-a")
				t.Logf("%d of %d ran at the capped zone (%.1f%%), %d answered, else %v", runs, offered, 100*float64(runs)/float64(offered), out.Good, out.Reasons)
				require.LessOrEqual(t, float64(runs), 0.4*float64(offered)+float64(tc.hosts))
				require.Zero(t, c.Over())

				// A lower cap applies to all requests after the change is accepted.
				doc := strings.Replace(fmt.Sprintf(cappedRules, 0.1), "share = 0.3", "share = 0.1", 1)
				d, err := config.ParseDocument([]byte(doc))
				require.NoError(t, err)
				change, err := d.Change("lower", c.revision())
				require.NoError(t, err)
				applied, err := c.Host("sierra-a-1").Apply(context.Background(), change, 10*time.Second)
				require.NoError(t, err)
				require.Equal(t, configsync.StateAccepted, applied.State)
				time.Sleep(clustertest.Timeout)
				before := c.runsIn("sierra-a")
				out = c.Load(60, 10*time.Second)
				offered = out.Good + out.Refused + out.Doubt
				runs = c.runsIn("sierra-a") - before
				t.Logf("then %d of %d", runs, offered)
				require.LessOrEqual(t, float64(runs), 0.1*float64(offered)+float64(tc.hosts))
			})
		})
	}
}

// At a load of twice the capacity, the hosts must serve at least 90 % of the capacity,
// serve all admitted requests in time, and add hardly any load by retries.
func TestOverload(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		const capacity = 120
		c.Load(capacity, 3*time.Second) // the upstreams warm up
		before := c.runsIn("")
		out := c.Load(2*capacity, 15*time.Second)
		ran := float64(c.runsIn("")-before) / 15
		t.Logf("answered %d/s of a capacity of %d/s, ran %.0f/s, slowest %s", out.Good/15, capacity, ran, out.Slowest)
		require.GreaterOrEqual(t, out.Good/15, capacity*90/100)
		require.Zero(t, out.Doubt, "admitted requests must be served within their deadline")
		require.LessOrEqual(t, ran, float64(out.Good)/15*1.05, "retries must not add load")
		require.Zero(t, c.Over())
	})
}

// Wrong or missing load reports must reduce the number of served requests by at most
// 10 %.
func TestMisleadingMeasurements(t *testing.T) {
	zero, one := 0.0, 1.0
	goodput := map[string]int{}
	for name, inject := range map[string]func(c *cluster){
		"true": func(*cluster) {},
		"zero": func(c *cluster) { c.faultAll(standin.Faults{ReportLoad: &zero}) },
		"full": func(c *cluster) { c.faultAll(standin.Faults{ReportLoad: &one}) },
		"half of them full": func(c *cluster) {
			for name, u := range c.Upstreams {
				if strings.HasSuffix(name, "-1") {
					u.SetFaults(standin.Faults{ReportLoad: &one})
				}
			}
		},
		"heartbeats of another zone stop": func(c *cluster) {
			c.Net.Cut(func(a, b string) bool { return strings.HasPrefix(a, "costa-") && strings.HasPrefix(b, "sierra-") })
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, clustertest.Anywhere, func(c *cluster) {
				inject(c)
				out := c.Load(110, 10*time.Second)
				goodput[name] = out.Good
				t.Logf("answered %d, refused %d, in doubt %d", out.Good, out.Refused, out.Doubt)
				require.Zero(t, c.Over())
			})
		})
	}
	for name, good := range goodput {
		require.GreaterOrEqual(t, good, goodput["true"]*9/10, name)
	}
}

// If one of six upstreams is slow, most of its requests must go to the others.
func TestSlowUpstream(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		c.Load(60, 3*time.Second)
		c.Upstreams["up-costa-a-1"].SetFaults(standin.Faults{Delay: 600 * time.Millisecond})
		c.Load(60, 3*time.Second)
		before, slow := c.runsIn(""), c.Upstreams["up-costa-a-1"].Ledger().Runs
		out := c.Load(60, 10*time.Second)
		share := float64(c.Upstreams["up-costa-a-1"].Ledger().Runs-slow) / float64(c.runsIn("")-before)
		t.Logf("the slow one got %.1f%% of the requests; answered %d, slowest %s", 100*share, out.Good, out.Slowest)
		require.Less(t, share, 0.08)
		require.Zero(t, out.Doubt)
	})
}
