package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
)

// ignoreEjections is an outlier.Reporter.
type ignoreEjections struct{}

func (ignoreEjections) FailureSeen()             {}
func (ignoreEjections) Ejected(outlier.Ejection) {}

func TestAnOverdueAttemptIsReplacedOnlyIfAnotherIsGranted(t *testing.T) {
	for _, c := range []struct {
		rule   string
		repeat route.Repeat
		// retries is what the budget allows.
		retries float64
		// ended says that the attempt ended before the timer fired.
		ended bool
		want  overdueState
	}{
		{"a granted retry replaces it", route.Repeatable, 10, false, replaced},
		{"an empty budget leaves it", route.Repeatable, 0, false, overdue},
		{"what may run only once is left", route.Once, 10, false, overdue},
		{"an attempt that ended is not overdue", route.Repeatable, 10, true, inTime},
	} {
		t.Run(c.rule, func(t *testing.T) {
			detector := outlier.New(ignoreEjections{})
			f := &inflight{
				proxy: New(Options{Detector: detector, Hosts: func() int { return 1 }, Budget: retry.NewBudget(retry.Limits{Window: time.Second, Slack: c.retries})}),
				route: &route.Route{Repeat: c.repeat, Attempts: 2, Timeout: time.Minute},
				tried: []string{"i-1"}, began: time.Now(),
			}
			canceled := false
			timer := &overdueTimer{inflight: f, upstream: "i-1", after: time.Millisecond, cancel: func() { canceled = true }}
			if c.ended {
				timer.settle()
			}
			timer.fire()
			timer.fire() // once is enough
			require.Equal(t, c.want, timer.settle())
			require.Equal(t, c.want == replaced, canceled)
			failures := 0
			for _, o := range detector.Observations(time.Now()) {
				failures += o.Failures
			}
			if c.ended {
				require.Zero(t, failures)
			} else {
				require.Equal(t, 1, failures, "an overdue response counts against the upstream once")
			}
		})
	}
}
