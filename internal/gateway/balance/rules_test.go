package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRejectThresholdFallsWithEachLowerPriority(t *testing.T) {
	for priority, want := range map[int]float64{-1: 1.85, 0: 1.85, 1: 1.6, 2: 1.35, 3: 1.1, 9: 1.1} {
		require.InDelta(t, want, DefaultPolicy().rejectThreshold(priority), 1e-9, priority)
	}
}

func TestFractionOfTheKeysServedInTheOwnRegion(t *testing.T) {
	for _, c := range []struct {
		name                  string
		own, all, regions     int
		fraction, bulk, small float64
	}{
		{"no upstreams", 0, 0, 3, 0, 0, 0},
		{"an even share of the capacity", 8, 24, 3, 1, 1, 1},
		{"half of the even share: the large responses", 4, 24, 3, 0.5, 1, 0},
		{"a quarter of it: half of the large ones", 2, 24, 3, 0.25, 0.5, 0},
		{"three quarters of it: half of the small ones too", 6, 24, 3, 0.75, 1, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			fraction := ownKeysFraction(c.own, c.all, c.regions)
			require.InDelta(t, c.fraction, fraction, 1e-9)
			require.InDelta(t, c.bulk, bulkFirst(fraction, true), 1e-9)
			require.InDelta(t, c.small, bulkFirst(fraction, false), 1e-9)
		})
	}
}

func TestLoadEstimateIsOwnRequestsPlusTheDecayingReportOfOthers(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name     string
		estimate loadEstimate
		capacity int
		load     float64
		age      time.Duration
	}{
		{"no data", loadEstimate{}, 4, 0, noLoadReport},
		{"own requests only", loadEstimate{outstanding: 2}, 4, 0.5, noLoadReport},
		{"fresh report", loadEstimate{outstanding: 2, reported: 6, outstandingAtReport: 2, reportedAt: now}, 4, 1.5, 0},
		{"half decayed", loadEstimate{outstanding: 2, reported: 6, outstandingAtReport: 2, reportedAt: now.Add(-minReportTTL / 2)}, 4, 1, minReportTTL / 2},
		{"fully decayed", loadEstimate{outstanding: 2, reported: 6, reportedAt: now.Add(-minReportTTL)}, 4, 0.5, minReportTTL},
		{"half decayed, with reports every 0.6 s", loadEstimate{outstanding: 2, reported: 6, outstandingAtReport: 2, reportedAt: now.Add(-1500 * time.Millisecond), interval: 600 * time.Millisecond}, 4, 1, 1500 * time.Millisecond},
		{"fully decayed, with reports every minute", loadEstimate{outstanding: 2, reported: 6, reportedAt: now.Add(-maxReportTTL), interval: time.Minute}, 4, 0.5, maxReportTTL},
		{"report below the own requests", loadEstimate{outstanding: 2, reported: 1, outstandingAtReport: 3, reportedAt: now}, 4, 0.5, 0},
		{"unknown capacity counts as one", loadEstimate{outstanding: 2}, 0, 2, noLoadReport},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.InDelta(t, c.load, c.estimate.inCapacities(now, c.capacity, reportTTLIntervals), 1e-9)
			require.Equal(t, c.age, c.estimate.reportAge(now))
		})
	}
}

// Cases without ejected upstreams are left out, because no request then depends on the
// result.
func TestEjectionsAreHonoredWhileMostUpstreamsAreHealthyAndHaveCapacity(t *testing.T) {
	for _, c := range []struct {
		name    string
		regions []regionSummary
		honored bool
	}{
		{"one of three is ejected", []regionSummary{{ejected: 1, healthy: 2}}, true},
		{"one of three, in two regions", []regionSummary{{ejected: 1}, {healthy: 2}}, true},
		{"half are ejected", []regionSummary{{ejected: 1, healthy: 1}}, true},
		{"most are ejected", []regionSummary{{ejected: 2, healthy: 1}}, false},
		{"all are ejected", []regionSummary{{ejected: 1}}, false},
		{"the others are at the limit", []regionSummary{{ejected: 1, healthy: 1, healthyLoad: maxHealthyLoad}}, true},
		{"the others are above it", []regionSummary{{ejected: 1, healthy: 1, healthyLoad: 0.7}}, false},
		{"most upstreams of the allowed regions are ejected", []regionSummary{{ejected: 2, healthy: 1}, {region: "closed", healthy: 9}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := summary{regions: c.regions}
			require.Equal(t, c.honored, s.honorEjections(Query{Allows: func(region string) bool { return region != "closed" }}))
		})
	}
}
