// Package admission admits requests to the upstreams of the host's own zone: it
// acquires a slot, sends the request and releases the slot when the upstream has
// finished the request.
//
// The package has no state of its own. The gates of the services provide the
// slots, the fence confirms that the slots belong to this host, and the upstream
// client reports the outcome of a request.
package admission

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/fence"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/upstream"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// RetryAfter is the delay after which a client may retry a refused request.
const RetryAfter = time.Second

// Client sends a request to an upstream and calls done when the slot can be
// released.
type Client interface {
	Send(ctx context.Context, t upstream.Target, req *call.Request, done upstream.Done) (*call.Response, error)
}

// Options configure an Admitter.
type Options struct {
	Zone     string
	View     func() *config.View
	Services *services.Set
	Fence    *fence.Fence
	Client   Client
	Metrics  *telemetry.Metrics
	Tracer   trace.Tracer
}

// Admitter admits requests to the zone's upstreams.
type Admitter struct{ Options }

// New returns an Admitter.
func New(o Options) *Admitter { return &Admitter{o} }

// Acquire acquires a slot for a request under a rule. It waits for a free slot
// until the given time, or not at all if the time is zero. Errors are of type
// *verdict.Error with the verdict NotRun.
func (a *Admitter) Acquire(ctx context.Context, service, rule string, until time.Time) (slot.Lease, error) {
	gate := a.Services.Get(service).Gate
	lease, refusal := gate.Acquire(ctx, rule, until)
	// The fence is checked after the wait, because the host may have been
	// paused while the request waited.
	if refusal == slot.Granted && !a.Fence.Open() {
		gate.Release(lease, slot.Unused, 0)
		return lease, verdict.New(verdict.NotRun, verdict.NotReady, "host was paused").WithRetryAfter(RetryAfter)
	}
	switch refusal {
	case slot.Granted:
		return lease, nil
	case slot.Capped:
		return lease, verdict.New(verdict.NotRun, verdict.Capped, "rule %q is at its limit here", rule).WithRetryAfter(RetryAfter)
	case slot.Leaving:
		return lease, verdict.New(verdict.NotRun, verdict.Stopping, "the host is stopping and holds no slots")
	case slot.NoRule:
		return lease, verdict.New(verdict.NotRun, verdict.NoUpstream, "no rule %q here", rule)
	default:
		return lease, verdict.New(verdict.NotRun, verdict.Full, "no free slot in %s", a.Zone).WithRetryAfter(RetryAfter)
	}
}

// Cancel releases a slot that was not used to send a request.
func (a *Admitter) Cancel(service string, lease slot.Lease) {
	a.Services.Get(service).Gate.Release(lease, slot.Unused, 0)
}

// Send sends a request to the upstream of a slot and releases the slot when the
// upstream has finished the request. Errors are of type *verdict.Error.
func (a *Admitter) Send(ctx context.Context, req *call.Request, lease slot.Lease) (*call.Response, error) {
	u, ok := a.View().LocalUpstream(lease.Upstream())
	if !ok || u.Service != req.Service {
		a.Cancel(req.Service, lease)
		return nil, verdict.New(verdict.NotRun, verdict.NoUpstream, "upstream was removed")
	}
	ctx, span := a.Tracer.Start(ctx, "upstream", trace.WithAttributes(attribute.String("upstream", u.Name)))
	defer span.End()
	gate := a.Services.Get(req.Service).Gate
	target := upstream.Target{Name: u.Name, Zone: u.Zone, Addr: u.Addr}
	resp, err := a.Client.Send(ctx, target, req, func(outcome slot.Outcome, latency time.Duration) {
		gate.Release(lease, outcome, latency)
	})
	if err != nil {
		a.Metrics.Count(`cairndock_upstream_failures_total{verdict="` + verdict.From(err).Verdict.String() + `"}`)
		return nil, err
	}
	return resp, nil
}
