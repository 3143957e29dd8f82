package loadmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

// newUpstreams returns upstreams of one service with a slot each, in the given zones, whose
// region is the part of the zone's name before the dash.
func newUpstreams(m *Model, zones ...string) []*upstreamSim {
	for _, zone := range zones {
		entry := &upstream.Upstream{Registration: upstream.Registration{Zone: zone, Region: zone[:len(zone)-2]}}
		u := &upstreamSim{model: m, entry: entry, config: Service{Name: "s", Slots: 1, Queue: 9}, slow: 1}
		m.byService["s"] = append(m.byService["s"], u)
	}
	return m.byService["s"]
}

// Guards against a measure that counts a queue as avoidable although no other upstream
// could have served the request sooner.
func TestRequestsBesideAFreeSlotAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		running      []int
		down         int
		zone, region int
	}{
		"the upstream itself has a free slot":   {running: []int{0, 0, 0}, down: -1},
		"another of the zone has one":           {running: []int{1, 0, 1}, down: -1, zone: 1, region: 1},
		"only another zone of the region does":  {running: []int{1, 1, 0}, down: -1, region: 1},
		"the one with a free slot is not there": {running: []int{1, 0, 1}, down: 1},
		"no upstream has a free slot":           {running: []int{1, 1, 1}, down: -1},
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(Scenario{}, 1)
			upstreams := newUpstreams(m, "north-a", "north-a", "north-b")
			for i, u := range upstreams {
				u.running, u.down = c.running[i], i == c.down
			}
			m.result.Spread.arrived(upstreams[0])
			require.Equal(t, 1, m.result.Spread.Arrivals)
			require.Equal(t, c.zone, m.result.Spread.BesideFreeInZone)
			require.Equal(t, c.region, m.result.Spread.BesideFreeInRegion)
		})
	}
}

// Guards against a mean over upstreams of several services, which hides a busy upstream of
// a small service.
func TestTheBusiestUpstreamIsComparedWithItsService(t *testing.T) {
	m := newModel(Scenario{}, 1)
	for i, u := range newUpstreams(m, "north-a", "north-a", "north-b") {
		u.arrivals, u.processing = 2*i, time.Duration(i)*time.Second
	}
	m.byService["t"] = []*upstreamSim{{arrivals: 1000}}
	m.result.Spread.finish(m.byService)
	require.InDelta(t, 2, m.result.Spread.BusiestByRequests, 0)
	require.InDelta(t, 2, m.result.Spread.BusiestByTime, 0)
}

func TestChoicesWithoutAReportAreCountedApart(t *testing.T) {
	s := newSpread()
	for _, age := range []time.Duration{-1, 100 * time.Millisecond, 300 * time.Millisecond} {
		s.chosen(age)
	}
	require.Equal(t, []int{3, 1}, []int{s.Choices, s.Unreported})
	require.InDelta(t, 300, s.ReportAge(100).Milliseconds(), 1)
}
