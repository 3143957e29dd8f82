package proxy

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/verdict"
)

// retryState returns the input of the rules of package retry.
func (f *inflight) retryState() retry.State {
	return retry.State{
		Attempts: f.countedAttempts, MaxAttempts: f.route.Attempts, Refused: len(f.refused), Unanswered: len(f.unanswered),
		Repeatable: f.repeatable(), MayHaveRun: f.mayHaveRun != nil,
		Suspected: f.suspected(), Quarantined: f.quarantined(),
	}
}

// retry chooses the upstream for the next attempt after a failed one. If there is none,
// it returns the error to end the request with.
func (f *inflight) retry(ctx context.Context, failed error) (balance.Choice, error) {
	if !f.retryState().MayRetry(f.isDone(ctx)) {
		return balance.Choice{}, failed
	}
	c, err := f.chooseRetry(time.Now())
	if eris.Is(err, errNoBudget) {
		return c, failed
	}
	return c, err
}

// isDone reports whether nobody waits for the response any more.
func (f *inflight) isDone(ctx context.Context) bool {
	f.proxy.SuspendWatch.Check()
	return ctx.Err() != nil || f.clientCtx.Err() != nil || !time.Now().Before(f.deadline())
}

// recordFailed records the consequences of a failed attempt: that the request may have
// run, or that it was not sent.
func (f *inflight) recordFailed(result attemptResult) {
	e := verdict.From(result.err)
	if e.Verdict != verdict.NotRun {
		f.mayHaveRun = e
	}
	if isUnsent(e.Reason) {
		f.recordUnsent(e.Reason, result.attempt)
	}
}

// errNoBudget is the error when the retry budget denies a retry.
var errNoBudget = eris.New("the retry budget is used up")

// chooseRetry takes a retry from the budget of the service, which all known hosts share,
// and chooses an upstream for it. If there is no upstream, the retry is returned, because
// only requests that are sent count.
func (f *inflight) chooseRetry(now time.Time) (balance.Choice, error) {
	if !f.takeRetry(now) {
		return balance.Choice{}, errNoBudget
	}
	c, err := f.choose()
	if err != nil {
		f.returnRetry(now)
	}
	return c, err
}

// returnRetry returns a retry for which nothing was sent to the budget.
func (f *inflight) returnRetry(now time.Time) {
	f.proxy.Metrics.Count(`cairndock_retries_returned_total{service="` + f.service + `"}`)
	f.proxy.Budget.Return(f.service, now)
}

// takeRetry takes a retry from the budget of the service. A denied retry is counted in a
// metric and recorded for the final log line of the request.
func (f *inflight) takeRetry(now time.Time) bool {
	share := f.proxy.SlackShare()
	if f.proxy.Budget.TryRetry(f.service, share, now) {
		f.proxy.Metrics.Count(`cairndock_retries_granted_total{service="` + f.service + `"}`)
		return true
	}
	f.proxy.Metrics.Count(`cairndock_retries_denied_total{service="` + f.service + `"}`)
	usage := f.proxy.Budget.Usage(f.service, share, now)
	f.retryDenied = &usage
	return false
}
