package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
)

// runsIn sums the runs of a zone's upstreams; "" is every zone.
func (c *cluster) runsIn(zone string) int {
	n := 0
	for name, u := range c.Upstreams {
		if strings.HasPrefix(name, "up-"+zone) {
			n += u.Ledger().Runs
		}
	}
	return n
}

// TestInFlightLimit samples all upstreams together while more is offered
// than a rule's limit allows, and hosts come and go.
func TestInFlightLimit(t *testing.T) {
	for _, limit := range []int{1, 3, 7} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			inBubble(t, fmt.Sprintf("[[rule]]\nname = \"all\"\nservice = \"planning\"\nselector = \"\"\nshare = 1.0\nin_flight = %d\n", limit), func(c *cluster) {
				most, stop := 0, make(chan struct{})
				sampled := make(chan struct{})
				go func() {
					defer close(sampled)
					for {
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
						}
						out := 0
						for _, u := range c.Upstreams {
							out += u.Ledger().Outstanding
						}
						most = max(most, out)
					}
				}()
				time.AfterFunc(3*time.Second, func() {
					c.Kill("costa-a-2")
					c.Start("costa-a-2")
				})
				out := c.Load(100, 10*time.Second)
				close(stop)
				<-sampled
				t.Logf("at most %d outstanding of %d allowed, %d answered", most, limit, out.Good)
				require.LessOrEqual(t, most, limit)
				require.Positive(t, out.Good)
			})
		})
	}
}

// TestRateLimit: over all hosts, a rule's rate holds over the whole load.
func TestRateLimit(t *testing.T) {
	inBubble(t, "[[rule]]\nname = \"all\"\nservice = \"planning\"\nselector = \"\"\nshare = 1.0\nrate = 20.0\n", func(c *cluster) {
		const seconds = 15
		out := c.Load(100, seconds*time.Second)
		t.Logf("%d ran in %d s at a limit of 20/s, %d answered", c.runsIn(""), seconds, out.Good)
		// One request of credit for each of the 5 hosts.
		require.LessOrEqual(t, c.runsIn(""), 20*seconds+5)
		require.GreaterOrEqual(t, out.Good, 20*seconds*3/4)
	})
}

// TestColdRegion moves half of the traffic to a zone whose upstreams are
// cold, at once and by a ramp.
func TestColdRegion(t *testing.T) {
	const rules = `
[[rule]]
name = "old"
service = "planning"
selector = "region=costa"
share = %v
ramp = %v
[[rule]]
name = "new"
service = "planning"
selector = "region=sierra"
share = %v
ramp = %v
`
	slow := map[float64]int{}
	for _, ramp := range []float64{0, 0.05} {
		t.Run(fmt.Sprintf("ramp=%v", ramp), func(t *testing.T) {
			inBubble(t, fmt.Sprintf(rules, 1.0, ramp, 0.0, ramp), func(c *cluster) {
				for name, u := range c.Upstreams {
					if strings.HasPrefix(name, "up-sierra") {
						u.ColdRuns, u.ColdFactor = 40, 5
					}
				}
				c.Load(50, 3*time.Second)
				doc, err := config.ParseDocument(fmt.Appendf(nil, rules, 0.5, ramp, 0.5, ramp))
				require.NoError(t, err)
				change, err := doc.Change("shift", c.revision())
				require.NoError(t, err)
				_, err = c.Host("costa-a-1").Apply(context.Background(), change, 0)
				require.NoError(t, err)
				first := c.Load(50, 5*time.Second)
				rest := c.Load(50, 15*time.Second)
				t.Logf("first 5 s: answered %d, refused %d, slower than 300 ms %d, slowest %s; then 15 s: answered %d, refused %d, slow %d; new zone ran %d",
					first.Good, first.Refused, first.Slow, first.Slowest, rest.Good, rest.Refused, rest.Slow, c.runsIn("sierra-a"))
				slow[ramp] = first.Slow + first.Refused
				require.Zero(t, c.Over())
				require.Positive(t, c.runsIn("sierra-a"))
			})
		})
	}
	require.Less(t, slow[0.05], slow[0], "a ramp spares callers the cold upstreams")
}
