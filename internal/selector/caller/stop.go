package caller

import (
	"context"
	"errors"

	"cairndock/internal/selector/server/abort"
	"cairndock/internal/verdict"
)

// abortError returns the error to send for a request that failed in Host.Do. If
// the host's stop aborted the request's context, Host.Do reports the same errors
// as for a client that disconnected or a wait that timed out. The client is
// still waiting in this case, so the error is replaced by the host's stop. The
// verdict stays unchanged.
func abortError(ctx context.Context, err error) error {
	e := verdict.From(err)
	// If the deadline passed before the abort, ctx.Err is DeadlineExceeded.
	if !errors.Is(ctx.Err(), context.Canceled) || !abort.Aborted(ctx) || !causedByContext(e) {
		return err
	}
	return stopped(e.Verdict).WithUpstream(e.Upstream).WithRetryAfter(e.RetryAfter)
}

// causedByContext reports whether the end of a request's context can cause this
// error: by interrupting an attempt, a wait for a slot or for another host, or
// a response.
func causedByContext(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.CallerLeft, verdict.DeadlineLapsed, verdict.Full, verdict.PeerFailed, verdict.AnswerTruncated:
		return e.Verdict != verdict.Ran
	default:
		return false
	}
}

// stopped returns the error of a request that was aborted by the host's stop.
func stopped(v verdict.Verdict) *verdict.Error {
	reason := verdict.Interrupted
	if v == verdict.NotRun {
		reason = verdict.Stopping
	}
	return verdict.New(v, reason, "the host is stopping")
}
