package proxy_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// quietObserver drops what a table of roll-outs reports.
type quietObserver struct{}

func (quietObserver) RolloutOrdered(rollout.Order, bool)        {}
func (quietObserver) RolloutChanged(rollout.Record)             {}
func (quietObserver) RolloutWriteFailed(rollout.Record, error)  {}
func (quietObserver) RolloutNotReported(what string, err error) {}

// rolloutGateway is a gateway with a roll-out of service s to v2.
type rolloutGateway struct {
	*testGateway
	order rollout.Order
	// isolated is set while the host hears neither the store nor other hosts.
	isolated atomic.Bool
	revision int64
}

func newRolloutGateway(t *testing.T, repeat route.Repeat) *rolloutGateway {
	g := &rolloutGateway{testGateway: newTestGateway(t), order: rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Version: 7}}
	g.proxy.Rollouts = rollout.NewTable(rollout.TableOptions{
		HostID: 1, Observer: quietObserver{},
		Fresh: func() bool { return !g.isolated.Load() }, Isolated: g.isolated.Load,
		InFlight: func(string, string) int { return 0 },
	})
	g.setRoutes(testRoute(repeat))
	g.proxy.Rollouts.SetOrders(map[string]rollout.Order{"s": g.order})
	return g
}

// setPhase puts a phase of the roll-out in force. All keys are of the target's fraction. v0 is the
// version of an earlier order that was rolled back.
func (g *rolloutGateway) setPhase(p rollout.Phase) {
	g.revision++
	r := rollout.Record{Order: g.order, Phase: p, Revision: g.revision, Excluded: []string{"v0"}}
	if p == rollout.Canary || p == rollout.Ramp {
		r.Fraction = 1
	}
	if p == rollout.Succeeded {
		r.Replaced = []string{"v1"}
	}
	g.proxy.Rollouts.PutRecord(r)
}

// addVersion adds an upstream of a version, and returns the number of requests that it received.
func (g *rolloutGateway) addVersion(version string, respond func(c net.Conn, r *http.Request)) *atomic.Int64 {
	count, l := g.listenUpstream("other", g.capacity, respond)
	value, err := json.Marshal(upstream.Registration{
		ID: fmt.Sprint("v-", g.version), Service: "s", SoftwareVersion: version, Address: l.Addr().String(), Zone: g.zone, Region: g.region, Capacity: 1000,
	})
	require.NoError(g.t, err)
	g.version++
	g.state.UpstreamSink().Apply(watch.Update{Rows: []watch.Row{{Key: fmt.Sprint("v-", g.version-1), Value: value, Version: g.version}}})
	return count
}

// ROUTE: a version gets no request while no order or phase allows it, also if nothing else is left
// and the request could be sent again.
func TestRouteNoVersionGetsARequestThatNoOrderAllows(t *testing.T) {
	for _, c := range []struct {
		phase     rollout.Phase
		forbidden string
		only      bool // no upstream of another version is left
	}{
		{rollout.RolledBack, "v2", false},
		{rollout.RolledBack, "v2", true},
		{rollout.Shift, "v1", false},
		{rollout.Shift, "v1", true},
		{"", "v2", false}, // the order is not recorded yet
		{rollout.Canary, "v0", true},
		{rollout.Shift, "v0", true},
		{rollout.RolledBack, "v0", true},
		{rollout.Succeeded, "v0", true},
	} {
		t.Run(fmt.Sprintf("%s, only %s %t", c.phase, c.forbidden, c.only), func(t *testing.T) {
			g := newRolloutGateway(t, route.Repeatable)
			if c.phase != "" {
				g.setPhase(c.phase)
			}
			forbidden := g.addVersion(c.forbidden, healthy)
			status := http.StatusServiceUnavailable
			if !c.only {
				g.addVersion(map[string]string{"v1": "v2", "v2": "v1"}[c.forbidden], resetting)
				status = http.StatusBadGateway
			}
			for key := range 6 {
				got := g.getKey(key)
				require.Contains(t, []int{status, http.StatusServiceUnavailable}, got)
			}
			require.Zero(t, forbidden.Load())
		})
	}
}

// ROUTE: once a roll-out has succeeded, the platform stops the old upstreams and gives their
// addresses to other services, whose upstreams refuse with 421. A host that still has their rows
// must send the request elsewhere, and the refusal is no failure of the version.
func TestRouteAnAddressThatWasReassignedDuringARollOut(t *testing.T) {
	g := newRolloutGateway(t, route.Once)
	g.setPhase(rollout.Canary)
	var ran atomic.Int64
	reassigned := g.addVersion("v2", func(c net.Conn, r *http.Request) {
		reply(c, r, http.StatusMisdirectedRequest, "", "")
	})
	g.addVersion("v1", func(c net.Conn, r *http.Request) {
		ran.Add(1)
		healthy(c, r)
	})
	for n := range 4 {
		resp, _, err := g.send(t.Context(), http.MethodPost, "/x/", "", map[string]string{headerID: fmt.Sprint(n), headerKey: fmt.Sprint(n)})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.EqualValues(t, 4, ran.Load())
	require.Positive(t, reassigned.Load())
	outcomes := g.proxy.Rollouts.Report(time.Now())["s"].Evidence.Routes["r"].Target
	require.Positive(t, outcomes.Sent)
	require.Zero(t, outcomes.Failed)
}

// REFUSED: a host that cannot know which version still runs refuses a request that may not be
// repeated with 503. It must not run then, nor when the host is back in contact.
func TestRefusedARequestOfAnIsolatedHostNeverRuns(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Canary, rollout.Ramp, rollout.Shift} {
		g := newRolloutGateway(t, route.Once)
		g.setPhase(phase)
		old, target := g.addVersion("v1", healthy), g.addVersion("v2", healthy)
		g.isolated.Store(true)
		for n := range 4 {
			resp, _, err := g.send(t.Context(), http.MethodPost, "/x/", "", map[string]string{headerID: fmt.Sprint(n), headerKey: fmt.Sprint(n)})
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, "not-run", resp.Header.Get("Verdict"))
		}
		g.isolated.Store(false)
		require.Equal(t, http.StatusOK, g.getKey(9))
		require.EqualValues(t, 1, old.Load()+target.Load(), "only the request that was not refused")
	}
}

// REFUSED: a version that is rolled back while a request waits for its connection there must not
// get it. The request runs once at another version, or is refused and never runs.
func TestRefusedARequestThatWaitsDuringARollBackRunsOnceAtMost(t *testing.T) {
	for _, withOld := range []bool{true, false} {
		g := newRolloutGateway(t, route.Once)
		g.setPhase(rollout.Shift)
		target, old := g.addVersion("v2", healthy), &atomic.Int64{}
		if withOld {
			old = g.addVersion("v1", healthy)
		}
		g.dialDelay.Store(int64(100 * time.Millisecond))
		time.AfterFunc(50*time.Millisecond, func() { g.setPhase(rollout.RolledBack) })
		resp, _, err := g.do(t.Context(), http.MethodPost, "/x/", "")
		require.NoError(t, err)
		require.Zero(t, target.Load())
		if withOld {
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.EqualValues(t, 1, old.Load())
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get("Verdict"))
		time.Sleep(200 * time.Millisecond) // a late send would arrive in this time
		require.Zero(t, target.Load())
	}
}
