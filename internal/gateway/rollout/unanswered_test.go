package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host that loses its path to all upstreams has failures in flight at both versions, more at the
// one that has more requests there. These must not count as failures of a version; those of a
// host with a path must, also if no other request was sent.
func TestFailuresOfAHostWithoutAPathAreNoEvidence(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name string
		// lostUntil is the end of the last loss of the path, in milliseconds; 0 is none.
		lostUntil int
		// answeredAt is when another request was sent that got its response; 0 is none.
		answeredAt int
		// by is when the evidence is read.
		by     int
		failed int
	}{
		{"the path is not checked yet", 0, 0, 300, 0},
		{"the path was lost", 5000, 0, 2000, 0},
		{"the path was lost, and is there again", 1500, 1600, 2000, 0},
		{"the path was lost before", 5, 0, 2000, 1},
		{"a later request got its response", 0, 150, 400, 1},
		{"an earlier request got its response", 0, 50, 400, 0},
		{"the host noticed no loss", 0, 0, 2000, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, all := newObserver(testOrder), versions(map[string]int{"v1": 1, "v2": 1})
			o.lost = func(since time.Time) bool { return c.lostUntil > 0 && at(c.lostUntil).After(since) }
			o.start("r", all[1], true, at(10)).End(Unanswered, at(100))
			if c.answeredAt > 0 {
				o.start("r", all[0], true, at(c.answeredAt)).End(Answered, at(c.answeredAt+100))
			}
			for range 2 { // each failure counts once
				require.Equal(t, c.failed, o.snapshot(at(c.by)).Routes["r"].Target.Failed)
			}
		})
	}
}

// Requests that hang because the path is lost must not count as slow responses of a version.
func TestRequestsThatHangWithoutAPathAreNotSlow(t *testing.T) {
	now, u := time.Now(), versions(map[string]int{"v2": 1})[0]
	for _, lost := range []bool{false, true} {
		o := newObserver(testOrder)
		o.setSlow(thresholds{Any: map[string]time.Duration{"r": 100 * time.Millisecond}})
		o.lost = func(time.Time) bool { return lost }
		ended := o.start("r", u, true, now)
		o.start("r", u, true, now)
		ended.End(Undecided, now.Add(time.Second))
		require.Equal(t, map[bool]int{false: 2, true: 0}[lost], o.snapshot(now.Add(time.Second)).Routes["r"].Target.Slow)
	}
}

// The attempts that wait for the check of the path must be bounded, however many fail.
func TestUnansweredAttemptsAreBounded(t *testing.T) {
	now, u := time.Now(), versions(map[string]int{"v2": 1})[0]
	o := newObserver(testOrder)
	for range maxUnanswered + 10 {
		o.start("r", u, true, now).End(Unanswered, now)
	}
	require.Len(t, o.unanswered, maxUnanswered)
	require.Equal(t, maxUnanswered+10, o.snapshot(now.Add(pathCheckTime)).Routes["r"].Target.Failed)
	require.Empty(t, o.unanswered)
}

// In the shift all requests are at the new version, so that no other version shows the failures
// of hosts that lose their path: a good version was rolled back for those in flight.
func TestALostPathInTheShiftRollsNoVersionBack(t *testing.T) {
	all := versions(map[string]int{"v2": 32})
	for _, c := range []struct {
		outcome Outcome
		bad     bool
	}{{Unanswered, false}, {Failed, true}} {
		cut, sound, judge := newObserver(testOrder), newObserver(testOrder), NewJudge()
		cut.lost = func(time.Time) bool { return true }
		now, found := time.Now(), false
		for range 10 {
			for i := range 96 {
				sound.start("r", all[i%32], true, now).End(Answered, now.Add(100*time.Millisecond))
			}
			now = now.Add(ReportInterval)
			found = found || judge.Observe(sound.snapshot(now).plus(cut.snapshot(now))).Bad
		}
		for i := range 30 { // a third of the requests in flight
			cut.start("r", all[i], true, now).End(c.outcome, now.Add(10*time.Millisecond))
		}
		for range 8 {
			now = now.Add(ReportInterval)
			found = found || judge.Observe(sound.snapshot(now).plus(cut.snapshot(now))).Bad
		}
		require.Equal(t, c.bad, found, "outcome %d", c.outcome)
	}
}
