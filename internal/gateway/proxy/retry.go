package proxy

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/verdict"
)

// A request is sent to another upstream in two cases: its attempt failed
// (mayRetry), or its response is overdue (mayHedge). Either way the retry budget
// of its service must grant it, and what may have run is only sent again when it
// may run more than once.

// retryState is what both rules look at.
type retryState struct {
	// attempts is the number of upstreams that the request was sent to, and
	// maxAttempts the route's bound on it.
	attempts, maxAttempts int
	// repeatable is set when the request may run more than once.
	repeatable bool
	// mayHaveRun is set when an attempt that failed may have run.
	mayHaveRun bool
}

func (f *inflight) retryState() retryState {
	return retryState{
		attempts: len(f.tried), maxAttempts: f.route.Attempts, repeatable: f.repeatable(), mayHaveRun: f.mayHaveRun != nil,
	}
}

// mayRetry is the rule for a request of which an attempt failed and none is left
// that is on time. ended is set
// when there is nobody to serve: the deadline passed, the host aborts or the
// client left.
func mayRetry(s retryState, ended bool) bool {
	return !ended && s.attempts < s.maxAttempts && (s.repeatable || !s.mayHaveRun)
}

// retry chooses the upstream of the next attempt after one failed. Otherwise it
// gives the error to end the request with.
func (f *inflight) retry(ctx context.Context, failed error) (balance.Choice, error) {
	if !mayRetry(f.retryState(), f.ended(ctx)) {
		return balance.Choice{}, failed
	}
	c, err := f.chooseRetry(time.Now())
	if eris.Is(err, errNoBudget) {
		return c, failed
	}
	return c, err
}

// ended reports whether there is nobody to serve.
func (f *inflight) ended(ctx context.Context) bool { return ctx.Err() != nil || f.client.Err() != nil }

// noteFailed remembers an attempt's error if the request may have run.
func (f *inflight) noteFailed(err error) {
	if e := verdict.From(err); e.Verdict != verdict.NotRun {
		f.mayHaveRun = e
	}
}

// mayHedge is the rule for a request whose response is overdue: the response
// may be lost, so a request that may run more than once is sent to another
// upstream if timeLeft, the time until its deadline, is enough for a response
// from there, which normally takes overdueAfter at most. It raised the worst
// windows of cacf-ruteo scale-1 from 0.59 to 0.62 (docs/design/platform.md).
func mayHedge(s retryState, timeLeft, overdueAfter time.Duration) bool {
	return s.repeatable && s.attempts < s.maxAttempts && timeLeft >= overdueAfter
}

// errNoBudget is the error of a retry that the budget does not grant.
var errNoBudget = eris.New("the retry budget is used up")

// chooseRetry takes a retry from the service's budget, which all known hosts
// share, and chooses an upstream for it. Without an upstream the retry goes
// back: only requests that are sent count.
func (f *inflight) chooseRetry(now time.Time) (balance.Choice, error) {
	if !f.proxy.Budget.TryRetry(f.service, f.proxy.Sharers(), now) {
		return balance.Choice{}, errNoBudget
	}
	c, err := f.choose()
	if err != nil {
		f.proxy.Budget.Return(f.service, now)
	}
	return c, err
}
