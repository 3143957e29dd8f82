// Package dispatch routes a request: it sends the request to one zone after
// another until an upstream responds or no further try is allowed.
//
// The package controls the tries of each request: the maximum number, whether
// another try may follow, in which queue the request waits and when it is
// hedged. The service's decider chooses the zones, package admission provides
// the slots of the host's own zone, and package forward reaches other hosts
// (docs/design/request.md).
package dispatch

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/steer"
	"cairndock/internal/verdict"
)

// Admitter admits requests to the upstreams of the host's own zone.
type Admitter interface {
	Acquire(ctx context.Context, service, rule string, until time.Time) (slot.Lease, error)
	Cancel(service string, lease slot.Lease)
	Send(ctx context.Context, req *call.Request, lease slot.Lease) (*call.Response, error)
}

// Forwarder forwards requests to other hosts.
type Forwarder interface {
	Forward(ctx context.Context, req *call.Request, zone, rule string, until time.Time) (*call.Response, error)
	// ZoneMayHelp reports whether another host of the same zone reported a free
	// slot.
	ZoneMayHelp(service string) bool
}

// Options configure a Dispatcher.
type Options struct {
	View      func() *config.View
	Services  *services.Set
	Admitter  Admitter
	Forwarder Forwarder
	// Now reads the host's monotonic clock, in nanoseconds.
	Now    func() int64
	Tracer trace.Tracer
}

// Dispatcher dispatches requests.
type Dispatcher struct{ Options }

// New returns a Dispatcher.
func New(o Options) *Dispatcher { return &Dispatcher{o} }

// Dispatch sends a request to the best zone. It tries other zones while the
// request provably did not run or may be repeated. Errors are of type
// *verdict.Error.
func (d *Dispatcher) Dispatch(ctx context.Context, req *call.Request) (*call.Response, error) {
	ctx, span := d.Tracer.Start(ctx, "dispatch", trace.WithAttributes(attribute.String("service", req.Service)))
	defer span.End()
	svc, ok := d.View().Service(req.Service)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", req.Service)
	}
	resp, err := d.begin(svc, req).run(ctx)
	if err != nil {
		span.SetAttributes(attribute.String("verdict", verdict.From(err).Verdict.String()))
	}
	return resp, err
}

// begin registers a new request with the decider and plans its tries.
func (d *Dispatcher) begin(svc *config.ServiceView, req *call.Request) *request {
	r := &request{Dispatcher: d, svc: svc, state: d.Services.Get(req.Service), req: req}
	r.state.Decide(func(dec *steer.Decider) { dec.Begin(&r.plan) })
	return r
}
