package caller

import (
	"context"
	"errors"

	"cairndock/internal/selector/server/abort"
	"cairndock/internal/verdict"
)

// whenAborted gives the error of a request that Host.Do ended. Where that is
// for the end of an aborted context, the host can't tell it from a client that
// left, or from a wait that was in vain: the client, who still waits, is told
// that the host is stopping, with the verdict as it was proved.
func whenAborted(ctx context.Context, err error) error {
	e := verdict.From(err)
	// A deadline that came first ends the context with another error.
	if !errors.Is(ctx.Err(), context.Canceled) || !abort.Aborted(ctx) || !endsWithContext(e) {
		return err
	}
	return stopped(e.Verdict).WithUpstream(e.Upstream).WithRetryAfter(e.RetryAfter)
}

// endsWithContext reports whether the end of a request's context has this error:
// an attempt, a wait for a slot or for another host, or a response, broke off.
func endsWithContext(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.CallerLeft, verdict.DeadlineLapsed, verdict.Full, verdict.PeerFailed, verdict.AnswerTruncated:
		return e.Verdict != verdict.Ran
	default:
		return false
	}
}

// stopped is the error of a request that was cut by the host's stop.
func stopped(v verdict.Verdict) *verdict.Error {
	reason := verdict.Interrupted
	if v == verdict.NotRun {
		reason = verdict.Stopping
	}
	return verdict.New(v, reason, "the host is stopping")
}
