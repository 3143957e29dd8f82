package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate that takes an upstream without a recent report for an idle
// one, or for as busy as it once was.
func TestExpectedLoadReturnsToTheMeanOfTheReports(t *testing.T) {
	now := time.Now()
	const regionMean, capacity = 0.5, 4
	for name, c := range map[string]struct {
		mean meanReport
		last int
		age  time.Duration
		own  int
		want float64
	}{
		"the last report, at once":             {meanReport{2, 8}, 6, 0, 0, 6},
		"and this host's requests":             {meanReport{2, 8}, 6, 0, 2, 8},
		"between the last report and the mean": {meanReport{2, 8}, 6, reportRelevance, 0, 3.47},
		"the mean, soon after":                 {meanReport{2, 8}, 6, 2 * time.Second, 0, 2},
		"towards the mean of the region":       {meanReport{4, 2}, 4, 2 * time.Second, 0, 2.95},
		"a report that is long past":           {meanReport{4, 8}, 4, 5 * time.Minute, 0, 2},
		"a report of the future":               {meanReport{2, 8}, 6, -time.Minute, 0, 6},
	} {
		t.Run(name, func(t *testing.T) {
			e := loadEstimate{outstanding: c.own, reported: c.last, reportedAt: now.Add(-c.age), mean: c.mean}
			require.InDelta(t, c.want, capacity*e.expected(now, capacity, regionMean), 0.01)
		})
	}
	unknown := loadEstimate{outstanding: 1}
	require.InDelta(t, 0.75, unknown.expected(now, capacity, regionMean), 1e-9, "an upstream that reports nothing")
}

func TestMeanOfReportsForgetsOldOnes(t *testing.T) {
	var m meanReport
	for range 100 {
		m.add(6, 100*time.Millisecond)
	}
	require.InDelta(t, 6, m.requests, 1e-9)
	m.add(0, reportMemory)
	require.Less(t, m.requests, 5.9, "one report does not change it much")
	m.add(0, 10*reportMemory)
	require.Less(t, m.requests, 0.01)
}
