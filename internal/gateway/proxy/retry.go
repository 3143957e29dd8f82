package proxy

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/verdict"
)

// retryState is what the rules of package retry look at.
func (f *inflight) retryState() retry.State {
	return retry.State{
		Attempts: f.attempts, MaxAttempts: f.route.Attempts, Refused: len(f.refused), Unanswered: len(f.unanswered),
		Repeatable: f.repeatable(), MayHaveRun: f.mayHaveRun != nil,
		Suspected: f.suspected(), Quarantined: f.quarantined(),
	}
}

// retry chooses the upstream of the next attempt after one failed. Otherwise it
// gives the error to end the request with.
func (f *inflight) retry(ctx context.Context, failed error) (balance.Choice, error) {
	if !f.retryState().MayRetry(f.ended(ctx)) {
		return balance.Choice{}, failed
	}
	c, err := f.chooseRetry(time.Now())
	if eris.Is(err, errNoBudget) {
		return c, failed
	}
	return c, err
}

// ended reports whether there is nobody to serve.
func (f *inflight) ended(ctx context.Context) bool {
	f.proxy.SuspendWatch.Check()
	return ctx.Err() != nil || f.client.Err() != nil || !time.Now().Before(f.deadline())
}

// noteFailed remembers what a failed attempt says of the request: that it may have run,
// or was not sent.
func (f *inflight) noteFailed(end attemptEnd) {
	e := verdict.From(end.err)
	if e.Verdict != verdict.NotRun {
		f.mayHaveRun = e
	}
	if isUnsent(e.Reason) {
		f.noteUnsent(e.Reason, end.attempt)
	}
}

// errNoBudget is the error of a retry that the budget does not grant.
var errNoBudget = eris.New("the retry budget is used up")

// chooseRetry takes a retry from the service's budget, which all known hosts
// share, and chooses an upstream for it. Without an upstream the retry goes
// back: only requests that are sent count.
func (f *inflight) chooseRetry(now time.Time) (balance.Choice, error) {
	if !f.takeRetry(now) {
		return balance.Choice{}, errNoBudget
	}
	c, err := f.choose()
	if err != nil {
		f.proxy.Budget.Return(f.service, now)
	}
	return c, err
}

// takeRetry takes a retry from the service's budget. One that is denied is counted, and
// remembered for the request's final line.
func (f *inflight) takeRetry(now time.Time) bool {
	part := f.proxy.SlackPart()
	if f.proxy.Budget.TryRetry(f.service, part, now) {
		return true
	}
	f.proxy.Metrics.Count(`cairndock_retries_denied_total{service="` + f.service + `"}`)
	usage := f.proxy.Budget.Usage(f.service, part, now)
	f.retryDenied = &usage
	return false
}
