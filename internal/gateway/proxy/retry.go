package proxy

import (
	"context"
	"time"

	"cairndock/internal/verdict"
)

// A request is sent to another upstream in two cases: its attempt failed
// (decideRetry), or its response is overdue (mayResend). Either way the retry
// budget of its service must grant it, and what may have run is only sent again
// when it may run more than once.

// retryState is what both rules look at.
type retryState struct {
	// attempts is the number of upstreams that the request was sent to, and
	// maxAttempts the route's bound on it.
	attempts, maxAttempts int
	// repeatable is set when the request may run more than once.
	repeatable bool
	// mayHaveRun is set when an attempt that failed may have run.
	mayHaveRun bool
	// granted is set when the budget granted the next attempt already.
	granted bool
}

func (f *inflight) retryState() retryState {
	return retryState{
		attempts: len(f.tried), maxAttempts: f.route.Attempts, repeatable: f.repeatable(),
		mayHaveRun: f.mayHaveRun != nil, granted: f.retryGranted,
	}
}

// retryDecision is what happens to a request after a failed attempt.
type retryDecision uint8

const (
	// giveUp ends the request with an error.
	giveUp retryDecision = iota
	// retryNow sends it to another upstream.
	retryNow
	// retryIfGranted sends it to another upstream if the budget allows it.
	retryIfGranted
)

// decideRetry is the rule for a request whose attempt failed. ended is set when
// there is nobody to serve: the deadline passed, the host aborts or the client
// left. The budget is asked last, so that only retries that are made count in
// it.
func decideRetry(s retryState, ended bool) retryDecision {
	switch {
	case ended, s.attempts >= s.maxAttempts, s.mayHaveRun && !s.repeatable:
		return giveUp
	case s.granted:
		return retryNow
	default:
		return retryIfGranted
	}
}

// shouldRetry applies decideRetry after an attempt failed, and takes the retry
// from the budget.
func (f *inflight) shouldRetry(ctx context.Context, failed *verdict.Error) bool {
	if failed.Verdict != verdict.NotRun {
		f.mayHaveRun = failed
	}
	switch decideRetry(f.retryState(), ctx.Err() != nil || f.client.Err() != nil) {
	case retryNow:
		f.retryGranted = false
		return true
	case retryIfGranted:
		return f.takeRetry(time.Now())
	default:
		return false
	}
}

// mayResend is the rule for a request whose response is overdue: the response
// may be lost, so a request that may run more than once is sent to another
// upstream if timeLeft, the time until its deadline, is enough for a response
// from there, which normally takes overdueAfter at most. It raised the worst
// windows of cacf-ruteo scale-1 from 0.59 to 0.62 (docs/design/platform.md).
func mayResend(s retryState, timeLeft, overdueAfter time.Duration) bool {
	return s.repeatable && s.attempts < s.maxAttempts && timeLeft >= overdueAfter
}

// shouldResend applies mayResend and takes the retry from the budget.
func (f *inflight) shouldResend(overdueAfter time.Duration, now time.Time) bool {
	return mayResend(f.retryState(), f.deadline().Sub(now), overdueAfter) && f.takeRetry(now)
}

// takeRetry takes a retry from the service's budget, which all known hosts
// share, and reports whether one was left.
func (f *inflight) takeRetry(now time.Time) bool {
	return f.proxy.Budget.TryRetry(f.service, f.proxy.Hosts(), now)
}
