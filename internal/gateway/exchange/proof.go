package exchange

import (
	"context"
	"errors"
	"os"
	"syscall"

	"cairndock/internal/verdict"
)

// connectError returns the error of a request for which no connection was established.
// Nothing was sent, so nothing ran. A dial that timed out by itself means an
// unreachable upstream; the deadline has lapsed only if the request's own context ended.
// A refused connection shows that the machine is reachable and that no process listens.
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

// responseError returns the error of a request that has a connection but no response.
// The request may have run as soon as the kernel accepted one byte of it
// (sent), because delivery of that byte is unknown.
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
