package exchange

import (
	"context"
	"errors"
	"os"
	"syscall"

	"cairndock/internal/verdict"
)

// connectError gives the error of a request for which no connection was made.
// Nothing was sent, so nothing ran. A dial that timed out by itself is an
// unreachable upstream; only the request's own context makes it a lapsed
// deadline. A refused connection says more: the machine is there and no process
// listens.
func connectError(ctx context.Context, upstream string, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return verdict.New(verdict.NotRun, verdict.CallerLeft, "client left before the request was sent").WithUpstream(upstream)
	case ctx.Err() != nil:
		return verdict.New(verdict.NotRun, verdict.DeadlineLapsed, "no connection before the deadline: %v", err).WithUpstream(upstream)
	case errors.Is(err, syscall.ECONNREFUSED):
		return verdict.New(verdict.NotRun, verdict.ConnectionRefused, "no connection: %v", err).WithUpstream(upstream)
	default:
		return verdict.New(verdict.NotRun, verdict.Unreachable, "no connection: %v", err).WithUpstream(upstream)
	}
}

// responseError gives the error of a request that has a connection but no
// response. It may have run as soon as the kernel accepted one byte of it
// (sent); whether that byte arrived can't be known.
func responseError(ctx context.Context, upstream string, err error, sent bool) error {
	v := verdict.NotRun
	if sent {
		v = verdict.MayHaveRun
	}
	reason := verdict.UpstreamFailed
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = verdict.CallerLeft
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		// The connection's deadline may pass a moment before the context's.
		reason = verdict.DeadlineLapsed
	}
	return verdict.New(v, reason, "no response: %v", err).WithUpstream(upstream)
}
