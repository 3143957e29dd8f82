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
	"cairndock/internal/gateway/reach"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
	"cairndock/internal/poison"
	"cairndock/internal/suspend"
	"cairndock/internal/telemetry"
)

// ignoreEjections is an outlier.Reporter that does nothing.
type ignoreEjections struct{}

func (ignoreEjections) FailureSeen()             {}
func (ignoreEjections) Ejected(outlier.Ejection) {}

// An overdue response is recorded once as a failure of its upstream, and may be hedged only
// if the route and the budget allow a retry. The effects of a hedge are tested in
// hedge_test.go.
func TestAnOverdueResponseCountsOnceAndMayBeLeft(t *testing.T) {
	for _, c := range []struct {
		rule   string
		repeat route.Repeat
		// retries is the number of retries that the budget allows.
		retries float64
		// ended is set when the attempt ended before the timer fired.
		ended    bool
		failures int
	}{
		{"an empty budget allows no hedge", route.Repeatable, 0, false, 1},
		{"a request that may run only once is not hedged", route.Once, 10, false, 1},
		{"an attempt that ended is not overdue", route.Repeatable, 10, true, 0},
	} {
		t.Run(c.rule, func(t *testing.T) {
			detector := outlier.New(ignoreEjections{})
			f := &inflight{
				proxy: New(Options{Detector: detector, Suspicions: poison.NewTable("h", time.Now(), nil), SuspendWatch: suspend.NewWatch(suspend.Machine{}), Reach: reach.New(reach.Options{}), SlackShare: func() float64 { return 1 }, Metrics: telemetry.NewMetrics(), Budget: retry.NewBudget(retry.Limits{Window: time.Second, Slack: c.retries}, time.Now().Add(-time.Second), 0)}),
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
			s.hedge(a) // the second call has no effect
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

// anyQuota is a balance.WarmUpQuotas with a quota of one request.
type anyQuota struct{}

func (anyQuota) WarmUpQuota(string, string, float64) warmup.Quota { return warmup.Quota{Requests: 1} }

// A response that is dropped because it came too late releases its upstream's capacity.
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
	body := notifyingBody{strings.NewReader(""), func() { close(closed) }}
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

// notifyingBody is a body that calls a function when it is closed.
type notifyingBody struct {
	io.Reader
	close func()
}

func (c notifyingBody) Close() error {
	c.close()
	return nil
}
