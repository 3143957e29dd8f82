package proxy

import (
	"context"
	"time"

	"cairndock/internal/gateway/route"
)

// defaultTimeout applies when the client does not specify how long it waits. The clients
// of the platform always specify it.
const defaultTimeout = 30 * time.Second

// effectiveTimeout returns how long a request may take: as long as the client waits, but
// no longer than the timeout of the route. A zero argument means that the value is not
// set.
func effectiveTimeout(clientTimeout, routeTimeout time.Duration) time.Duration {
	timeout := defaultTimeout
	if clientTimeout > 0 {
		timeout = clientTimeout
	}
	if routeTimeout > 0 {
		timeout = min(timeout, routeTimeout)
	}
	return timeout
}

// deadline returns when the client must have its final response. While this machine is
// suspended its monotonic clock stops, but the client's clock does not. The time
// suspended is therefore subtracted.
func (f *inflight) deadline() time.Time {
	return f.began.Add(effectiveTimeout(f.info.Timeout, f.route.Timeout) - f.suspendedTime())
}

// suspendedTime returns how long the machine has been suspended since the request
// arrived.
func (f *inflight) suspendedTime() time.Duration {
	return f.proxy.SuspendWatch.Total() - f.suspendedAtStart
}

// withDeadline bounds the context of an attempt by the deadline. If the machine was
// suspended in the meantime, the context of the request ends after the deadline, and the
// attempt would run longer than the client waits.
func (f *inflight) withDeadline(ctx context.Context) context.Context {
	if f.suspendedTime() == 0 {
		return ctx
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline())
	context.AfterFunc(ctx, cancel)
	return ctx
}

// context returns the context of the attempts of a request. It ends at the deadline, when
// the host aborts its requests and, for a request that may run more than once, when the
// client disconnects. A request that may run only once continues, because canceling it
// would only make it unknown whether it ran.
func (f *inflight) context() (context.Context, context.CancelFunc) {
	parent := f.clientCtx
	if !f.repeatable() {
		parent = context.WithoutCancel(f.clientCtx)
	}
	ctx, cancel := context.WithDeadline(parent, f.deadline())
	stop := context.AfterFunc(f.proxy.aborted, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// repeatable reports whether the request may run more than once.
func (f *inflight) repeatable() bool { return f.route.Repeat == route.Repeatable }
