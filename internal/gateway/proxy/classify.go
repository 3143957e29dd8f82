package proxy

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/verdict"
)

// classify decides what a response means. It returns nil when the response may be
// forwarded, otherwise the error of the attempt. Only proof from the upstream makes an
// attempt "not run". No response is forwarded that promises the client more than is
// proven: a success needs proof of origin, and a status that promises "not run" needs
// proof of that. capacity is that of the upstream, in requests.
func classify(status int, info exchange.ResponseInfo, capacity int) *verdict.Error {
	switch {
	case info.Misdirected:
		return verdict.New(verdict.NotRun, verdict.Misdirected, "another upstream has the address")
	case info.NotExecuted && hasFreeCapacity(info.Load, capacity):
		return verdict.New(verdict.NotRun, verdict.UpstreamDeclined, "upstream refused with status %d while running %d of at most %d requests", status, info.Load.Running, capacity)
	case info.NotExecuted:
		return verdict.New(verdict.NotRun, verdict.UpstreamShed, "upstream refused with status %d", status)
	case status < http.StatusMultipleChoices && !info.Signed:
		return verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "success without proof of origin")
	case promisesNotRun(status):
		return verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "status %d without proof that the request did not run", status)
	default:
		return nil
	}
}

// hasFreeCapacity reports whether an upstream that refused a request reported free
// capacity. If so, it refused for a reason other than load.
func hasFreeCapacity(l exchange.LoadReport, capacity int) bool {
	return l.Known && l.Waiting == 0 && l.Running < capacity
}

// promisesNotRun reports whether a status promises the client that its request did not
// run and never will. The platform defines these statuses.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// errSuperseded is the cancellation cause of an attempt when another attempt of the same
// request got a response first.
var errSuperseded = eris.New("another upstream responded first")

// isSuperseded reports whether the context was canceled with errSuperseded.
func isSuperseded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSuperseded) }

// superseded returns the error of a superseded attempt.
func superseded(upstream string, v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.Superseded, "%v", errSuperseded).WithUpstream(upstream)
}

// truncated returns the error for a response that ended before its prefix was buffered,
// either at the upstream or because the attempt's context ended.
func truncated(ctx context.Context, upstream string, err error) *verdict.Error {
	reason := verdict.AnswerTruncated
	switch {
	case isSuperseded(ctx):
		return superseded(upstream, verdict.MayHaveRun)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = verdict.CallerLeft
	case ctx.Err() != nil:
		reason = verdict.DeadlineLapsed
	}
	return verdict.New(verdict.MayHaveRun, reason, "the response broke off: %v", err).WithUpstream(upstream)
}

// outcomeOfTruncated returns the outcome of a truncated response for the count of
// consecutive failures at this host. A body that stalls until the deadline is a failure
// of the upstream. A body that nobody waits for any more says nothing about the upstream.
func outcomeOfTruncated(r verdict.Reason) outlier.Outcome {
	if r == verdict.Superseded || r == verdict.CallerLeft {
		return outlier.Canceled
	}
	return outlier.Failed
}

// The outlier detector counts failures of an upstream in two ways: as evidence that the
// hosts of a region share (isUpstreamFault, recordHealth), and as consecutive failures at
// this host only (outcomeOf, outcomeOfForward, release).

// isUpstreamFault reports whether a failed attempt is evidence against its upstream. Load
// shedding and canceled requests are not.
func isUpstreamFault(r verdict.Reason) bool {
	switch r {
	case verdict.UpstreamFailed, verdict.Unreachable, verdict.ConnectionRefused, verdict.AnswerTruncated:
		return true
	default:
		return false
	}
}

// outcomeOf returns the outcome of a failed attempt for the count of consecutive failures
// at this host.
func outcomeOf(r verdict.Reason) outlier.Outcome {
	switch r {
	case verdict.UpstreamShed, verdict.UpstreamDeclined:
		return outlier.Rejected
	case verdict.Unreachable, verdict.ConnectionRefused, verdict.Misdirected:
		return outlier.Unreachable
	case verdict.CallerLeft, verdict.DeadlineLapsed, verdict.Superseded, verdict.Withheld:
		return outlier.Canceled
	default:
		return outlier.Failed
	}
}

// outcomeOfForward returns the outcome of a forwarded response for the same count. If the body
// could not be written, the client has caused it. If it could not be read, the upstream has failed.
// If it did not end before the deadline, the upstream has failed unless the client delayed it:
// by reading slowly or by leaving.
func outcomeOfForward(err error, delayedByClient bool) outlier.Outcome {
	switch {
	case err == nil:
		return outlier.Succeeded
	case isBroken(err), isLate(err) && !delayedByClient:
		return outlier.Failed
	default:
		return outlier.Canceled
	}
}

// isBroken reports whether the upstream has broken off a body or exceeded its limit.
func isBroken(err error) bool {
	var e *bodyError
	return errors.As(err, &e) && !isLate(err)
}

// isLate reports whether the context ended before a body did.
func isLate(err error) bool {
	var e *bodyError
	return errors.As(err, &e) && errors.Is(err, os.ErrDeadlineExceeded)
}

// rolloutOutcome returns the outcome of an attempt for the comparison of versions.
func rolloutOutcome(resp *exchange.Response, err error) rollout.Outcome {
	switch {
	case err == nil && resp.Status < http.StatusInternalServerError:
		return rollout.Answered
	case err == nil:
		return rollout.Failed
	}
	reason := verdict.From(err).Reason
	switch {
	case !isUpstreamFault(reason):
		return rollout.Undecided
	case resp == nil, reason == verdict.AnswerTruncated:
		return rollout.Unanswered
	default:
		return rollout.Failed
	}
}

// recordHealth reports the result of an attempt to the outlier detector. An overdue
// attempt was recorded as a failure when its timer fired. Its duration is still included
// in the latency of the service, so that the baseline adapts when the whole service has
// become slow.
func (f *inflight) recordHealth(run upstream.Run, inTime bool, resp *exchange.Response, err error, began time.Time) {
	now := time.Now()
	took := now.Sub(began)
	detector := f.proxy.Detector
	switch {
	case !inTime:
		detector.RecordLatency(f.service, took)
	case err == nil && resp.Status < http.StatusInternalServerError:
		detector.RecordSuccess(f.service, run, took, now)
	case err == nil, isUpstreamFault(verdict.From(err).Reason):
		detector.RecordFailure(run, now)
	}
}
