package proxy

import (
	"context"
	"time"

	"cairndock/internal/gateway/route"
)

// defaultTimeout bounds a request whose client does not say how long it waits:
// the platform's clients always say it.
const defaultTimeout = 30 * time.Second

// holdTime is how long a request is held: as long as the client waits, but no
// longer than the route's timeout. Zero stands for a time that is not given.
func holdTime(client, route time.Duration) time.Duration {
	hold := defaultTimeout
	if client > 0 {
		hold = client
	}
	if route > 0 {
		hold = min(hold, route)
	}
	return hold
}

// deadline is when the client must have its final response. The client's clock goes on
// while this machine is suspended, and its own stands still.
func (f *inflight) deadline() time.Time {
	return f.began.Add(holdTime(f.info.Timeout, f.route.Timeout) - f.suspendedFor())
}

// suspendedFor is for how long the machine was suspended since the request came.
func (f *inflight) suspendedFor() time.Duration {
	return f.proxy.SuspendWatch.Total() - f.suspendedBefore
}

// untilDeadline bounds an attempt's context by the deadline. The request's own context
// ends later where the machine was suspended meanwhile, and the attempt would be given
// time that the client no longer waits.
func (f *inflight) untilDeadline(ctx context.Context) context.Context {
	if f.suspendedFor() == 0 {
		return ctx
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline())
	context.AfterFunc(ctx, cancel)
	return ctx
}

// context gives the context of a request's attempts. It ends at the deadline,
// when the host aborts and, for a request that may run more than once, when its
// client leaves. A request that may not is left to its end: breaking it off
// would only make it unknown whether it ran.
func (f *inflight) context() (context.Context, context.CancelFunc) {
	parent := f.client
	if !f.repeatable() {
		parent = context.WithoutCancel(f.client)
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
