package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBackoffDoublesWithEachConsecutiveFailure(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  Outcome
		failures int
		want     time.Duration
	}{
		{"unreachable once", Unreachable, 1, 500 * time.Millisecond},
		{"unreachable twice", Unreachable, 2, time.Second},
		{"unreachable for long", Unreachable, 100, 4 * time.Second},
		{"failed twice", Failed, 2, 0},
		{"failed three times", Failed, 3, 500 * time.Millisecond},
		{"failed five times", Failed, 5, 2 * time.Second},
		{"failed for long", Failed, 100, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, backoff(c.outcome, c.failures)) })
	}
}

func TestOnlySuccessResetsConsecutiveFailures(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		between Outcome
		ejected bool
	}{
		{"success", Succeeded, false},
		{"load shedding", Rejected, true},
		{"cancellation", Canceled, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var count consecutive
			for _, o := range []Outcome{Failed, Failed, c.between, Failed} {
				count.record(o, now)
			}
			require.Equal(t, c.ejected, now.Before(count.ejectedUntil))
		})
	}
}

func TestEjectionPeriodDoublesUntilTheResetDelay(t *testing.T) {
	for _, c := range []struct {
		name                 string
		last, sinceEnd, want time.Duration
	}{
		{"the first", 0, time.Hour, 2 * time.Second},
		{"soon after the first", 2 * time.Second, time.Second, 4 * time.Second},
		{"at most", 8 * time.Second, 0, 8 * time.Second},
		{"reset", 8 * time.Second, ejectionResetDelay, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, nextEjectionPeriod(c.last, c.sinceEnd)) })
	}
}

func TestCounterCoversHalfAWindowToAWholeWindow(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name     string
		after    time.Duration
		failures int
	}{
		{"in the same interval", counterInterval - 1, 1},
		{"in the next interval", counterInterval, 1},
		{"a window later", evidenceWindow, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var n counter
			n.add(start, 1, 0)
			failures, successes := n.count(start.Add(c.after))
			require.Equal(t, c.failures, failures)
			require.Zero(t, successes)
		})
	}
}
