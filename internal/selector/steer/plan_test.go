package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/shift"
)

// status returns a decider's status of one zone.
func status(d *Decider, zone string, now int64) SiteStatus {
	for _, s := range d.Status(now) {
		if s.Zone == zone {
			return s
		}
	}
	return SiteStatus{}
}

// TestOwnRequestsCountUntilTheyEnd checks that a zone's utilization is computed from
// its last report plus this host's own requests since then, until they end.
func TestOwnRequestsCountUntilTheyEnd(t *testing.T) {
	now := int64(time.Hour)
	d := newDecider(config.PreferLatency, 2)
	d.SetZone("z001", Report{Free: 6, Warm: 8, At: now}, 0, true)
	use := func() float64 { return status(d, "z001", now).Use }
	var p Plan
	send := func() {
		d.Begin(&p)
		require.True(t, d.Commit(&p, Choice{Rule: "r", Zone: "z001"}))
	}
	require.InDelta(t, 0.25, use(), 1e-9)
	send()
	send()
	require.InDelta(t, 0.5, use(), 1e-9, "neither request is in the report")
	d.Ended("z001")
	require.InDelta(t, 0.375, use(), 1e-9)

	d.SetZone("z001", Report{Free: 5, Warm: 8, At: now + 1}, 0, true)
	require.InDelta(t, 0.375, use(), 1e-9, "the remaining request is included in the newer report")
	send()
	d.Ended("z001")
	d.Ended("z001")
	require.InDelta(t, 0.375, use(), 1e-9)
	send()
	require.InDelta(t, 0.5, use(), 1e-9, "all requests in the report have ended, and the new request is not in it")
	d.Ended("z001")
	d.SetZone("z001", Report{Free: 8, Warm: 8, At: now - 1}, 0, true)
	require.InDelta(t, 0.375, use(), 1e-9, "an older report is dropped")
}

func TestARefusalCountsFor200Milliseconds(t *testing.T) {
	now := int64(time.Hour)
	d := newDecider(config.PreferLatency, 2)
	d.SetZone("z001", Report{Free: 8, Warm: 8, At: now}, 0, true)
	d.Refused("z001", now)
	require.InDelta(t, 1, status(d, "z001", now+int64(refusalTTL)-1).Use, 0)
	require.Less(t, status(d, "z001", now+int64(refusalTTL)).Use, 1.0)
	d.Refused("unknown", now)
	d.SetZone("unknown", Report{}, 0, true)
	d.Ended("unknown")
}

// TestRoundTrips checks that a round trip time is assumed by region until it is measured.
func TestRoundTrips(t *testing.T) {
	d := New(shift.NewMeter(func() float64 { return 0 }, time.Now()))
	svc := &config.ServiceView{Service: config.Service{Name: "s"}}
	svc.Rules = []config.RuleView{{Rule: config.Rule{Name: "r", Share: 1}, Sites: []config.Site{
		{Zone: "far", Region: "other", Slots: 1}, {Zone: "near", Region: "own", Slots: 1}, {Zone: "home", Region: "own", Slots: 1},
	}}}
	d.Configure(svc, "home", "own", time.Now())
	order := func() (zones []string) {
		for _, s := range d.Status(0) {
			zones = append(zones, s.Zone)
		}
		return zones
	}
	require.Equal(t, []string{"home", "near", "far"}, order(), "sorted by round trip time")
	require.InDelta(t, 0, status(d, "home", 0).RTTMillis, 0)
	require.InDelta(t, 2, status(d, "near", 0).RTTMillis, 1e-9)
	require.InDelta(t, 50, status(d, "far", 0).RTTMillis, 1e-9)
	require.True(t, status(d, "home", 0).Reachable)
	require.False(t, status(d, "far", 0).Reachable, "no heartbeat yet")
	d.SetZone("far", Report{}, time.Millisecond, true)
	d.Rank()
	require.Equal(t, []string{"home", "far", "near"}, order())
}

// TestARuleAtItsCapIsSkipped checks that the next rule serves the request and that
// Plan.Capped records why the first rule was skipped.
func TestARuleAtItsCapIsSkipped(t *testing.T) {
	now := time.Now()
	d := New(shift.NewMeter(func() float64 { return 0 }, now))
	capped, open := 0.5, 1.0
	site := []config.Site{{Zone: "home", Region: "own", Slots: 1}}
	svc := &config.ServiceView{Service: config.Service{Name: "s"}}
	svc.Rules = []config.RuleView{
		{Rule: config.Rule{Name: "capped", Share: 0.5, Cap: &capped}, Sites: site},
		{Rule: config.Rule{Name: "open", Share: 0.5, Cap: &open}, Sites: site},
	}
	d.Configure(svc, "home", "own", now)
	var served []string
	for range 4 {
		var p Plan
		d.Begin(&p)
		c, ok := d.Next(&p, int64(time.Hour))
		require.True(t, ok)
		require.True(t, d.Commit(&p, c))
		served = append(served, c.Rule)
		require.Equal(t, c.Rule == "open", p.Capped)
	}
	require.Equal(t, []string{"open", "capped", "open", "capped"}, served)

	var p Plan
	d.Begin(&p)
	require.False(t, d.Commit(&p, Choice{Rule: "capped", Zone: "home"}), "a rule at its cap must not be committed, even if it was chosen")
	require.True(t, p.Capped)
}

func TestZonesAboveTheMaximumGetNoRequest(t *testing.T) {
	d := newDecider(config.PreferLatency, maxSites+10)
	require.Len(t, d.Status(0), maxSites)
}
