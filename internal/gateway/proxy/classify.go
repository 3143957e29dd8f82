package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/verdict"
)

// classify decides what a response means: nil when it may be forwarded, or the
// error of the attempt. Only the upstream's own proof makes an attempt not run,
// and nothing is forwarded that would promise the client more than is proved: a
// success needs proof of origin, and a status that promises "not run" needs
// proof of that. capacity is the upstream's, in requests.
func classify(status int, info exchange.ResponseInfo, capacity int) *verdict.Error {
	switch {
	case info.Misdirected:
		return verdict.New(verdict.NotRun, verdict.Misdirected, "another upstream has the address")
	case info.NotExecuted && hasRoom(info.Load, capacity):
		return verdict.New(verdict.NotRun, verdict.UpstreamDeclined, "upstream refused with status %d, at %d of %d", status, info.Load.Running, capacity)
	case info.NotExecuted:
		return verdict.New(verdict.NotRun, verdict.UpstreamShed, "upstream refused with status %d", status)
	case status < http.StatusMultipleChoices && !info.Signed:
		return verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "success without proof of origin")
	case promisesNotRun(status):
		return verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "status %d without proof that it did not run", status)
	default:
		return nil
	}
}

// hasRoom reports whether an upstream that refused said that it has free capacity:
// then it refused for another reason than load.
func hasRoom(l exchange.LoadReport, capacity int) bool {
	return l.Known && l.Waiting == 0 && l.Running < capacity
}

// promisesNotRun reports whether a status promises the client that its request
// did not run and never will. The statuses are the platform's.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// errSuperseded cancels an attempt whose request another attempt has answered.
var errSuperseded = eris.New("another upstream responded first")

// isSuperseded reports whether that is why an attempt's context ended.
func isSuperseded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSuperseded) }

// superseded is the error of such an attempt.
func superseded(upstream string, v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.Superseded, "%v", errSuperseded).WithUpstream(upstream)
}

// truncated is the error of a response that broke off before it was buffered,
// or that the gateway itself ended with the attempt's context.
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

// outcomeOfTruncated gives how such an attempt counts among this host's failures
// in a row. A body that stalls until the deadline is the upstream's failure; one
// that nobody waits for any more says nothing of it.
func outcomeOfTruncated(r verdict.Reason) outlier.Outcome {
	if r == verdict.Superseded || r == verdict.CallerLeft {
		return outlier.Canceled
	}
	return outlier.Failed
}

// The outlier detector counts an upstream's failures twice: as evidence that the
// hosts of a region share (isUpstreamFault, recordHealth), and in a row at this
// host alone (outcomeOf, outcomeOfForward, release).

// isUpstreamFault reports whether a failed attempt is evidence against its
// upstream. Load shedding and canceled requests are not.
func isUpstreamFault(r verdict.Reason) bool {
	switch r {
	case verdict.UpstreamFailed, verdict.Unreachable, verdict.ConnectionRefused, verdict.AnswerTruncated:
		return true
	default:
		return false
	}
}

// outcomeOf gives how a failed attempt counts among this host's failures in a
// row.
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

// outcomeOfForward gives how a response that was being forwarded counts there.
// What broke it off, the upstream or the client, is not known.
func outcomeOfForward(err error) outlier.Outcome {
	if err != nil {
		return outlier.Canceled
	}
	return outlier.Succeeded
}

// recordHealth gives the outlier detector the end of an attempt that began at a
// time. An overdue attempt was recorded as a failure when its timer fired; the
// time that it took still counts in the service's latency, so that the baseline
// follows a service that has become slow as a whole.
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
