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

// retryState is what the retry rule looks at after a failed attempt.
type retryState struct {
	// ended is set when there is nobody to serve: the deadline passed, the host
	// aborts or the client left.
	ended bool
	// attempts is the number of upstreams that the request was sent to, and
	// maxAttempts the route's bound on it.
	attempts, maxAttempts int
	// mayHaveRun is set when this attempt or an earlier one may have run.
	mayHaveRun bool
	// repeatable is set when the request may run more than once.
	repeatable bool
	// granted is set when the budget granted the next attempt already.
	granted bool
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

// decideRetry is the rule for a request whose attempt failed. The budget is
// asked last, so that only retries that are made count in it.
func decideRetry(s retryState) retryDecision {
	switch {
	case s.ended:
		return giveUp
	case s.attempts >= s.maxAttempts:
		return giveUp
	case s.mayHaveRun && !s.repeatable:
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
		f.maybeRan = failed
	}
	decision := decideRetry(retryState{
		ended:       ctx.Err() != nil || f.client.Err() != nil,
		attempts:    len(f.tried),
		maxAttempts: f.route.Attempts,
		mayHaveRun:  f.maybeRan != nil,
		repeatable:  f.repeatable(),
		granted:     f.retryGranted,
	})
	switch decision {
	case retryNow:
		f.retryGranted = false
		return true
	case retryIfGranted:
		return f.takeRetry(time.Now())
	default:
		return false
	}
}

// resendState is what the resend rule looks at when a response is overdue.
type resendState struct {
	// repeatable is set when the request may run more than once.
	repeatable bool
	// attempts is the number of upstreams that the request was sent to, and
	// maxAttempts the route's bound on it.
	attempts, maxAttempts int
	// timeLeft is the time until the request's deadline, and overdueAfter the
	// time that a response normally takes at most.
	timeLeft, overdueAfter time.Duration
}

// mayResend is the rule for a request whose response is overdue: the response
// may be lost, so a request that may run more than once is sent to another
// upstream if there is time for a response from there. It raised the worst
// windows of cacf-ruteo scale-1 from 0.59 to 0.62 (docs/design/platform.md).
func mayResend(s resendState) bool {
	return s.repeatable && s.attempts < s.maxAttempts && s.timeLeft >= s.overdueAfter
}

// shouldResend applies mayResend and takes the retry from the budget.
func (f *inflight) shouldResend(overdueAfter time.Duration, now time.Time) bool {
	s := resendState{
		repeatable:   f.repeatable(),
		attempts:     len(f.tried),
		maxAttempts:  f.route.Attempts,
		timeLeft:     f.deadline().Sub(now),
		overdueAfter: overdueAfter,
	}
	return mayResend(s) && f.takeRetry(now)
}

// takeRetry takes a retry from the service's budget, which all known hosts
// share, and reports whether one was left.
func (f *inflight) takeRetry(now time.Time) bool {
	return f.proxy.Budget.TryRetry(f.service, f.proxy.Hosts(), now)
}
