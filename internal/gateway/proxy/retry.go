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

// nextAttempt is the upstream that was chosen for an attempt, and the retry of the budget
// that the attempt uses. grant is nil if it uses none.
type nextAttempt struct {
	choice balance.Choice
	grant  *retry.Grant
}

// retry chooses the upstream for the next attempt after a failed one. If there is none,
// it returns the error to end the request with.
func (f *inflight) retry(ctx context.Context, failed error) (nextAttempt, error) {
	if !f.retryState().MayRetry(f.isDone(ctx)) {
		return nextAttempt{}, failed
	}
	next, err := f.chooseRetry(time.Now())
	if eris.Is(err, errNoBudget) {
		return next, failed
	}
	return next, err
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
func (f *inflight) chooseRetry(now time.Time) (nextAttempt, error) {
	grant := f.takeRetry(now)
	if grant == nil {
		return nextAttempt{}, errNoBudget
	}
	c, err := f.choose()
	if err != nil {
		f.returnRetry(grant)
		return nextAttempt{}, err
	}
	return nextAttempt{choice: c, grant: grant}, nil
}

// returnRetry returns a retry to the budget because nothing was sent. grant may be nil.
func (f *inflight) returnRetry(grant *retry.Grant) {
	if grant == nil {
		return
	}
	f.proxy.Metrics.Count(`cairndock_retries_returned_total{service="` + f.service + `"}`)
	f.proxy.Budget.Return(grant)
}

// takeRetry takes a retry from the budget of the service. It returns nil if the budget
// denies it. A denied retry is counted in a metric and recorded for the final log line of
// the request.
func (f *inflight) takeRetry(now time.Time) *retry.Grant {
	share := f.proxy.SlackShare()
	if grant := f.proxy.Budget.TryRetry(f.service, share, now); grant != nil {
		f.proxy.Metrics.Count(`cairndock_retries_granted_total{service="` + f.service + `"}`)
		return grant
	}
	f.proxy.Metrics.Count(`cairndock_retries_denied_total{service="` + f.service + `"}`)
	usage := f.proxy.Budget.Usage(f.service, share, now)
	f.retryDenied = &usage
	return nil
}
