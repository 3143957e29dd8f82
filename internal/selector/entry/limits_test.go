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

// runsIn returns the number of requests that a zone's upstreams ran. An empty name
// means all zones.
func (c *cluster) runsIn(zone string) int {
	n := 0
	for name, u := range c.Upstreams {
		if strings.HasPrefix(name, "up-"+zone) {
			n += u.Ledger().Runs
		}
	}
	return n
}

// The number of requests outstanding at all upstreams must stay within a rule's
// in-flight limit while the load exceeds the limit and a host is restarted.
func TestInFlightLimit(t *testing.T) {
	for _, limit := range []int{1, 3, 7} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			inBubble(t, fmt.Sprintf("[[rule]]\nname = \"all\"\nservice = \"planning\"\nselector = \"\"\nshare = 1.0\nin_flight = %d\n", limit), func(c *cluster) {
				maxOutstanding, stop := 0, make(chan struct{})
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
						maxOutstanding = max(maxOutstanding, out)
					}
				}()
				time.AfterFunc(3*time.Second, func() {
					c.Kill("costa-a-2")
					c.Start("costa-a-2")
				})
				out := c.Load(100, 10*time.Second)
				close(stop)
				<-sampled
				t.Logf("at most %d outstanding of %d allowed, %d answered", maxOutstanding, limit, out.Good)
				require.LessOrEqual(t, maxOutstanding, limit)
				require.Positive(t, out.Good)
			})
		})
	}
}

// The requests that all hosts send must stay within a rule's rate over the whole
// load.
func TestRateLimit(t *testing.T) {
	inBubble(t, "[[rule]]\nname = \"all\"\nservice = \"planning\"\nselector = \"\"\nshare = 1.0\nrate = 20.0\n", func(c *cluster) {
		const seconds = 15
		out := c.Load(100, seconds*time.Second)
		t.Logf("%d ran in %d s at a limit of 20/s, %d answered", c.runsIn(""), seconds, out.Good)
		// Each of the 5 hosts may exceed its rate by one request.
		require.LessOrEqual(t, c.runsIn(""), 20*seconds+5)
		require.GreaterOrEqual(t, out.Good, 20*seconds*3/4)
	})
}

// Moving half of the traffic to a zone with cold upstreams by a ramp must cause
// fewer slow and refused requests than moving it at once.
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
	require.Less(t, slow[0.05], slow[0], "a ramp must reduce the effect of cold upstreams on clients")
}
