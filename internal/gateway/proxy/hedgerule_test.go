package proxy

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
	"cairndock/internal/poison"
	"cairndock/internal/suspend"
	"cairndock/internal/telemetry"
)

// ignoreEjections is an outlier.Reporter.
type ignoreEjections struct{}

func (ignoreEjections) FailureSeen()             {}
func (ignoreEjections) Ejected(outlier.Ejection) {}

// What a granted hedge does is in hedge_test.go.
func TestAnOverdueResponseCountsOnceAndMayBeLeft(t *testing.T) {
	for _, c := range []struct {
		rule   string
		repeat route.Repeat
		// retries is what the budget allows.
		retries float64
		// ended says that the attempt ended before the timer fired.
		ended    bool
		failures int
	}{
		{"an empty budget leaves it", route.Repeatable, 0, false, 1},
		{"what may run only once is left", route.Once, 10, false, 1},
		{"an attempt that ended is not overdue", route.Repeatable, 10, true, 0},
	} {
		t.Run(c.rule, func(t *testing.T) {
			detector := outlier.New(ignoreEjections{})
			f := &inflight{
				proxy: New(Options{Detector: detector, Suspicions: poison.NewTable("h", time.Now(), nil), SuspendWatch: suspend.NewWatch(suspend.Machine{}), SlackShare: func() float64 { return 1 }, Metrics: telemetry.NewMetrics(), Budget: retry.NewBudget(retry.Limits{Window: time.Second, Slack: c.retries}, time.Now().Add(-time.Second), 0)}),
				route: &route.Route{Repeat: c.repeat, Attempts: 2, Timeout: time.Minute},
				tried: []string{"i-1"}, began: time.Now(), clientCtx: t.Context(),
			}
			canceled := false
			a := &attempt{
				inflight: f, overdueAfter: time.Millisecond, cancel: func(error) { canceled = true },
				choice: balance.Choice{Upstream: &upstream.Upstream{Registration: upstream.Registration{ID: "i-1"}}},
			}
			s := f.newAttempts(t.Context())
			s.running = []*attempt{a}
			if c.ended {
				require.True(t, a.endWait())
			}
			s.hedge(a)
			s.hedge(a) // once is enough
			require.Equal(t, []*attempt{a}, s.running, "no other attempt")
			require.False(t, canceled)
			require.Equal(t, []string{"i-1"}, f.tried)
			failures := 0
			for _, o := range detector.Observations(time.Now()) {
				failures += o.Failures
			}
			require.Equal(t, c.failures, failures)
			require.False(t, a.endWait(), "its wait has ended")
		})
	}
}

// anyQuota is a balance.WarmUpQuotas.
type anyQuota struct{}

func (anyQuota) WarmUpQuota(string, string, float64) warmup.Quota { return warmup.Quota{Requests: 1} }

// A response that came too late takes no room at its upstream any more.
func TestAResponseThatIsDroppedReleasesItsUpstream(t *testing.T) {
	detector := outlier.New(ignoreEjections{})
	p := New(Options{Detector: detector, Balancer: balance.New(balance.Location{}, anyQuota{}, detector, balance.DefaultPolicy())})
	u := &upstream.Upstream{Registration: upstream.Registration{ID: "i-1", Capacity: 1}}
	q := balance.Query{Upstreams: []*upstream.Upstream{u}, Now: time.Now()}
	c, reason := p.Balancer.Choose(q)
	require.Equal(t, balance.Chosen, reason)

	f := &inflight{proxy: p, route: &route.Route{Attempts: 2}}
	s := f.newAttempts(t.Context())
	ctx, cancel := context.WithCancelCause(t.Context())
	a := &attempt{inflight: f, choice: c, cancel: cancel}
	s.running = []*attempt{a}
	closed := make(chan struct{})
	body := closer{strings.NewReader(""), func() { close(closed) }}
	s.results <- attemptResult{attempt: a, resp: &response{Response: &exchange.Response{Body: body}, choice: c}}
	s.abandon()
	require.True(t, isSuperseded(ctx))
	<-closed
	require.Eventually(t, func() bool {
		c, _ := p.Balancer.Choose(q)
		defer p.Balancer.Done(c)
		return c.Load == 0
	}, time.Second, time.Millisecond)
}

// closer is a body.
type closer struct {
	io.Reader
	close func()
}

func (c closer) Close() error {
	c.close()
	return nil
}
