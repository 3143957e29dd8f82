package outlier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/outlier"
)

// findings records what a judge finds.
type findings struct {
	ejected   []outlier.Ejection
	suspected int
}

func (f *findings) FailureSeen()               { f.suspected++ }
func (f *findings) Ejected(x outlier.Ejection) { f.ejected = append(f.ejected, x) }

func newJudge() (*outlier.Detector, *findings) {
	f := &findings{}
	return outlier.New(f), f
}

func TestAnUpstreamIsAvoidedForWhatRequestsShow(t *testing.T) {
	for _, c := range []struct {
		name      string
		bad, good int
		ejected   bool
	}{
		{"nothing bad", 0, 10, false},
		{"too little to tell", 2, 0, false},
		{"fails all", 3, 0, true},
		{"fails every third", 4, 8, false},
		{"fails half", 4, 4, true},
		{"loses an answer now and then", 3, 40, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j, findings := newJudge()
			now := time.Now()
			for range c.good {
				j.RecordSuccess("s", "i", time.Millisecond, now)
			}
			for range c.bad {
				j.RecordFailure("i", now)
			}
			require.Equal(t, c.ejected, j.Ejected("i", now))
			require.Equal(t, c.ejected, len(findings.ejected) == 1)
		})
	}
}

// One host of a large fleet sees an upstream too seldom to judge it.
func TestHostsAddUpWhatTheySaw(t *testing.T) {
	now := time.Now()
	j, findings := newJudge()
	j.RecordFailure("i", now)
	j.Merge("a", []outlier.Observation{{Upstream: "i", Failures: 1}}, now)
	require.False(t, j.Ejected("i", now))
	j.Merge("a", []outlier.Observation{{Upstream: "i", Failures: 1}}, now)
	require.False(t, j.Ejected("i", now), "the same word again is no news")
	j.Merge("b", []outlier.Observation{{Upstream: "i", Failures: 1}}, now)
	require.True(t, j.Ejected("i", now))
	require.Equal(t, []outlier.Ejection{{Upstream: "i", Failures: 3, Hosts: 3, For: 2 * time.Second}}, findings.ejected)
}

func TestWhatOthersFoundGoodSpeaksForAnUpstream(t *testing.T) {
	now := time.Now()
	j, _ := newJudge()
	j.Merge("a", []outlier.Observation{{Upstream: "i", Successes: 5}}, now)
	j.Merge("b", []outlier.Observation{{Upstream: "i", Failures: 3}}, now)
	require.False(t, j.Ejected("i", now))
}

func TestAHostTellsWhatItSawOfSuspects(t *testing.T) {
	now := time.Now()
	j, _ := newJudge()
	j.RecordSuccess("s", "sound", time.Millisecond, now)
	j.RecordSuccess("s", "doubted", time.Millisecond, now)
	j.RecordFailure("bad", now)
	j.Merge("a", []outlier.Observation{{Upstream: "doubted", Failures: 1}}, now)
	require.ElementsMatch(t, []outlier.Observation{{Upstream: "bad", Failures: 1}, {Upstream: "doubted", Successes: 1}}, j.Observations(now))
	require.Empty(t, j.Observations(now.Add(5*time.Second)), "evidence grows old")
}

func TestAnEjectionEndsAndGrowsWhenTheUpstreamIsStillBad(t *testing.T) {
	now := time.Now()
	j, findings := newJudge()
	fail := func(at time.Time) {
		for range 3 {
			j.RecordFailure("i", at)
		}
	}
	fail(now)
	j.Merge("a", []outlier.Observation{{Upstream: "i", Failures: 9}}, now.Add(time.Second)) // seen before the ejection
	end := now.Add(2 * time.Second)
	require.False(t, j.Ejected("i", end))
	j.RecordFailure("i", end)
	require.False(t, j.Ejected("i", end), "it begins anew")
	fail(end)
	require.Equal(t, 4*time.Second, (findings.ejected)[1].For)
	require.True(t, j.Ejected("i", end.Add(3*time.Second)))
	fail(end.Add(20 * time.Second))
	require.Equal(t, 2*time.Second, (findings.ejected)[2].For, "long ago is forgiven")
}

func TestPatienceFollowsWhatIsUsualForTheService(t *testing.T) {
	now := time.Now()
	j, _ := newJudge()
	require.Zero(t, j.OverdueAfter("s", 0))
	for range 64 {
		j.RecordSuccess("s", "i", 100*time.Millisecond, now)
	}
	require.Equal(t, 400*time.Millisecond, j.OverdueAfter("s", 0))
	require.Equal(t, 800*time.Millisecond, j.OverdueAfter("s", 2), "a queue is no fault")
	for range 64 {
		j.RecordLatency("s", time.Second)
	}
	require.Equal(t, 4*time.Second, j.OverdueAfter("s", 0), "all are slow")
	for range 64 {
		j.RecordSuccess("s", "i", time.Millisecond, now)
	}
	require.Equal(t, 250*time.Millisecond, j.OverdueAfter("s", 0))
	require.Zero(t, j.OverdueAfter("other", 0))
}

func TestUpstreamsThatAreGoneAreForgotten(t *testing.T) {
	now := time.Now()
	j, _ := newJudge()
	for range 3 {
		j.RecordFailure("i", now)
	}
	j.Retain(func(string) bool { return false })
	require.False(t, j.Ejected("i", now))
}
