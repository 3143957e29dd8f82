package loadmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
)

func evenLoad() Variant {
	v := withPolicy("even load", func(p *balance.Policy) { p.EvenLoad = true })
	v.ZoneReports = true
	return v
}

func besideFree(r *Result) float64 {
	return float64(r.Spread.BesideFreeInZone) / float64(r.Spread.Arrivals)
}

// Guards against requests that wait at some upstreams while others are idle: with 88 hosts
// before 388 upstreams, a third of all requests did.
func TestLoadIsEvenBeforeManyUpstreams(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "many-hosts")
	s.Length = duration(20 * time.Second) // in the first seconds, all wait behind first loads
	before, after := Run(s, DefaultVariant(), 1), Run(s, evenLoad(), 1)
	require.Less(t, besideFree(after), besideFree(before)-0.07)
	require.Greater(t, credit(after), credit(before)+0.02)
	require.Greater(t, after.WorstRegion(), before.WorstRegion())
	require.Equal(t, before.Total.Calls, after.Total.Calls)
}

// Guards against messages beyond those that the hosts of a zone exchange anyway.
func TestReportsAreOnlyExchangedWithinAZone(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	s.Length = duration(4 * time.Second)
	off, on := Run(s, DefaultVariant(), 1), Run(s, evenLoad(), 1)
	require.Zero(t, off.Messages)
	// Two zones of three hosts and two of two exchange 16 messages each 800 ms.
	require.Positive(t, on.Messages)
	require.LessOrEqual(t, on.Messages, 16*int(4*time.Second/heartbeatInterval+1))
	require.LessOrEqual(t, on.MessageBytes, on.Messages*maxZoneReports*zoneReportBytes)
}

// scaled returns the scenario many-hosts with another number of hosts, and upstreams, load and
// objects in proportion. It has 88 hosts.
func scaled(t *testing.T, hosts int) Scenario {
	s, factor := loadScenario(t, "many-hosts"), float64(hosts)/88
	scale := func(n int) int { return max(1, int(float64(n)*factor+0.5)) }
	for i := range s.Zones {
		s.Zones[i].Hosts = scale(s.Zones[i].Hosts)
	}
	for i := range s.Services {
		for zone, n := range s.Services[i].Upstreams {
			s.Services[i].Upstreams[zone] = scale(n)
		}
	}
	for i := range s.Routes {
		s.Routes[i].Rate *= factor
		s.Routes[i].Objects = scale(s.Routes[i].Objects)
	}
	s.Retries.Slack *= factor
	return s
}

// Guards against a loss of what even load gains, or a shift of requests between regions, when
// the reports that it relies on stop, mislead or are lost.
func TestEvenLoadUnderFailures(t *testing.T) {
	t.Parallel()
	at, lasting := duration(5*time.Second), duration(5*time.Second)
	for name, c := range map[string]struct {
		fault Fault
		old   float64
	}{
		"no fault":                      {},
		"reports stop":                  {fault: Fault{Kind: Silent, Service: "plans", Fraction: 1}},
		"some upstreams report nothing": {fault: Fault{Kind: Silent, Service: "plans", Fraction: 0.3}},
		"one always reports idle":       {fault: Fault{Kind: Idle, Service: "plans", Fraction: 0.02}},
		"half of the hosts are lost":    {fault: Fault{Kind: HostsLost, Fraction: 0.5}},
		"all hosts restart":             {fault: Fault{Kind: Restart}},
		"half of the hosts are older":   {old: 0.5},
		"upstreams become slow":         {fault: Fault{Kind: Slow, Service: "plans", Fraction: 0.05, Factor: 8}},
		"a burst in one zone":           {fault: Fault{Kind: Burst, Zone: "west-a", Factor: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			s := scaled(t, 44)
			if c.fault.Kind != "" {
				c.fault.At, c.fault.For = at, lasting
				s.Faults = []Fault{c.fault}
			}
			v := evenLoad()
			v.OldHosts = c.old
			before, after := Run(s, DefaultVariant(), 1), Run(s, v, 1)
			require.Less(t, besideFree(after), besideFree(before)-0.02)
			require.Greater(t, credit(after), credit(before))
			require.Less(t, after.LargestShift(), 0.15)
			t.Log(credit(before), credit(after), besideFree(before), besideFree(after), before.LargestShift(), after.LargestShift(), before.Spread.BusiestByRequests, after.Spread.BusiestByRequests)
		})
	}
}

// Guards against bytes between zones, which are expensive: with the largest requests served by
// the copies of their zone, at most half as many bytes may leave it, and clients must be served
// as well as before.
func TestZoneCopiesOfLargeRequestsSaveBytes(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "many-hosts")
	copies := withPolicy("zone copies", func(p *balance.Policy) { p.ZoneCopies, p.ZoneCopiesAbove = true, 8192 })
	before, after := runSeedsTo(1, s, DefaultVariant()), runSeedsTo(1, s, copies)
	bytes := func(r *Result) float64 { return float64(r.CrossZoneBytes) }
	require.Less(t, after.mean(bytes), before.mean(bytes)/2)
	require.Greater(t, after.mean(credit), before.mean(credit)-0.005)
}
