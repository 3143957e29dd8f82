package outlier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
)

// recorder records the events of a detector.
type recorder struct {
	ejections    []outlier.Ejection
	failuresSeen int
}

func (r *recorder) FailureSeen()               { r.failuresSeen++ }
func (r *recorder) Ejected(e outlier.Ejection) { r.ejections = append(r.ejections, e) }

func newDetector() (*outlier.Detector, *recorder) {
	r := &recorder{}
	return outlier.New(r), r
}

func fail(d *outlier.Detector, run upstream.Run, times int, at time.Time) {
	for range times {
		d.RecordFailure(run, at)
	}
}

func TestUpstreamIsEjectedForItsRateOfFailures(t *testing.T) {
	for _, c := range []struct {
		name                string
		failures, successes int
		ejected             bool
	}{
		{"no failures", 0, 10, false},
		{"too few failures", 2, 0, false},
		{"all fail", 3, 0, true},
		{"a third fails", 4, 8, false},
		{"half fail", 4, 4, true},
		{"few of many fail", 3, 40, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, reports := newDetector()
			now := time.Now()
			for range c.successes {
				d.RecordSuccess("s", "i", time.Millisecond, now)
			}
			fail(d, "i", c.failures, now)
			require.Equal(t, c.ejected, d.Ejected("i", now))
			require.Equal(t, c.ejected, len(reports.ejections) == 1)
			require.Equal(t, c.failures, reports.failuresSeen)
		})
	}
}

// A host of a large fleet sends too few requests to one upstream to judge it alone.
func TestObservationsOfAllHostsAddUp(t *testing.T) {
	now := time.Now()
	d, reports := newDetector()
	d.RecordFailure("i", now)
	d.Merge("a", []outlier.Observation{{Upstream: "i", Failures: 1}}, now)
	require.False(t, d.Ejected("i", now))
	d.Merge("a", []outlier.Observation{{Upstream: "i", Failures: 1}}, now)
	require.False(t, d.Ejected("i", now), "a repeated observation replaces the earlier one")
	d.Merge("b", []outlier.Observation{{Upstream: "i", Failures: 1}}, now)
	require.True(t, d.Ejected("i", now))
	require.Equal(t, []outlier.Ejection{{Upstream: "i", Failures: 3, Hosts: 3, Period: 2 * time.Second}}, reports.ejections)
}

func TestSuccessesAtOtherHostsCountForAnUpstream(t *testing.T) {
	now := time.Now()
	d, _ := newDetector()
	d.Merge("a", []outlier.Observation{{Upstream: "i", Successes: 5}}, now)
	d.Merge("b", []outlier.Observation{{Upstream: "i", Failures: 3}}, now)
	require.False(t, d.Ejected("i", now))
}

func TestObservationsCoverUpstreamsThatAnyHostSawFail(t *testing.T) {
	now := time.Now()
	d, _ := newDetector()
	d.RecordSuccess("s", "healthy", time.Millisecond, now)
	d.RecordSuccess("s", "failing-elsewhere", time.Millisecond, now)
	d.RecordFailure("failing", now)
	d.Merge("a", []outlier.Observation{{Upstream: "failing-elsewhere", Failures: 1}}, now)
	want := []outlier.Observation{{Upstream: "failing", Failures: 1}, {Upstream: "failing-elsewhere", Successes: 1}}
	require.ElementsMatch(t, want, d.Observations(now))
	require.Empty(t, d.Observations(now.Add(5*time.Second)), "expired evidence is ignored")
}

func TestEjectionEndsAndDoublesWhileTheUpstreamStillFails(t *testing.T) {
	now := time.Now()
	d, reports := newDetector()
	fail(d, "i", 3, now)
	d.Merge("a", []outlier.Observation{{Upstream: "i", Failures: 9}}, now.Add(time.Second)) // observed before the ejection
	end := now.Add(2 * time.Second)
	require.False(t, d.Ejected("i", end))
	d.RecordFailure("i", end)
	require.False(t, d.Ejected("i", end), "evidence from before the ejection is ignored")
	fail(d, "i", 3, end)
	require.Equal(t, 4*time.Second, reports.ejections[1].Period)
	require.True(t, d.Ejected("i", end.Add(3*time.Second)))
	fail(d, "i", 3, end.Add(20*time.Second))
	require.Equal(t, 2*time.Second, reports.ejections[2].Period, "the period is reset long after the last ejection")
}

func TestOverdueThresholdFollowsTheMedianOfTheService(t *testing.T) {
	now := time.Now()
	d, _ := newDetector()
	require.Zero(t, d.OverdueAfter("s", 0))
	for range 64 {
		d.RecordSuccess("s", "i", 100*time.Millisecond, now)
	}
	require.Equal(t, 400*time.Millisecond, d.OverdueAfter("s", 0))
	require.Equal(t, 800*time.Millisecond, d.OverdueAfter("s", 2), "queueing is not a fault of the upstream")
	for range 64 {
		d.RecordLatency("s", time.Second)
	}
	require.Equal(t, 4*time.Second, d.OverdueAfter("s", 0), "the baseline follows a service that is slow as a whole")
	for range 64 {
		d.RecordSuccess("s", "i", time.Millisecond, now)
	}
	require.Equal(t, 250*time.Millisecond, d.OverdueAfter("s", 0))
	require.Zero(t, d.OverdueAfter("other", 0))
}

func TestRetainDropsRemovedUpstreams(t *testing.T) {
	now := time.Now()
	d, _ := newDetector()
	fail(d, "i", 3, now)
	d.Retain(func(upstream.Run) bool { return false })
	require.False(t, d.Ejected("i", now))
}

// The count of consecutive failures ejects an upstream without any evidence of the
// region, and is not reported.
func TestConsecutiveFailuresEjectAtThisHostOnly(t *testing.T) {
	now := time.Now()
	d, reports := newDetector()
	d.RecordOutcome("i", outlier.Unreachable, now)
	require.True(t, d.Ejected("i", now))
	require.False(t, d.Ejected("i", now.Add(500*time.Millisecond)))
	require.Empty(t, d.Observations(now))
	require.Equal(t, &recorder{}, reports)
	d.RecordOutcome("i", outlier.Succeeded, now)
	require.False(t, d.Ejected("i", now))
}

// Late reports from many hosts about a crash ejected the next run of the upstream,
// which had started in the meantime.
func TestFailuresOfARunDoNotEjectTheNextRun(t *testing.T) {
	now := time.Now()
	d, _ := newDetector()
	fail(d, "i@10", 3, now)
	d.RecordOutcome("i@10", outlier.Unreachable, now)
	d.Merge("a", []outlier.Observation{{Upstream: "i@10", Failures: 9}}, now)
	require.True(t, d.Ejected("i@10", now))
	require.False(t, d.Ejected("i@20", now))
}

// Nine hosts continued to send requests to terminated upstreams. Each host stopped only
// when one of its own connections was refused, and tried again after each backoff.
func TestATerminatedRunIsAvoidedUntilItsRowExpires(t *testing.T) {
	const rowTTL = 4 * time.Second
	now := time.Now()
	d, _ := newDetector()
	d.RecordTermination("a", now)
	require.True(t, d.Ejected("a", now.Add(rowTTL-time.Millisecond)))
	require.False(t, d.Ejected("a", now.Add(rowTTL)))
	require.False(t, d.Ejected("b", now))
	d.RecordOutcome("a", outlier.Unreachable, now)
	require.True(t, d.Ejected("a", now.Add(rowTTL-time.Millisecond)), "a backoff does not end the avoidance earlier")
	d.RecordOutcome("a", outlier.Succeeded, now)
	require.False(t, d.Ejected("a", now), "a success may come from the next run with the same identifier")
}

func TestDroppedObservationsCountNoMore(t *testing.T) {
	d, reports := newDetector()
	now := time.Now()
	fail(d, "i", 2, now)
	d.DropOwn()
	require.Empty(t, d.Observations(now))
	fail(d, "i", 2, now)
	require.False(t, d.Ejected("i", now))
	fail(d, "i", 1, now)
	require.True(t, d.Ejected("i", now))
	d.DropOwn()
	require.True(t, d.Ejected("i", now), "an ejection remains in force")
	require.Len(t, reports.ejections, 1)
}
