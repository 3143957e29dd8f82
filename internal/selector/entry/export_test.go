package entry

import (
	"context"
	"time"

	"cairndock/internal/call"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/steer"
)

// What tests of a whole cluster look at inside a host.

// Tick is the pace of a host's own loop.
const Tick = tick

// Validated reports whether the host may send new work to upstreams.
func (h *Host) Validated() bool { return h.fence.Open() }

// CanSend reports whether the host has somewhere to send requests to.
func (h *Host) CanSend() bool { return h.canSend() }

// Forget drops what the host knows of another.
func (h *Host) Forget(host string) {
	h.peers.Update(func(p *member.Peers) { p.Forget(host) })
}

// Hears reports whether another host answers this one.
func (h *Host) Hears(host string) bool {
	p, known := h.peers.Get(host)
	return known && p.Up(time.Now())
}

// SentTo is how many bytes the host put on its link to a region.
func (h *Host) SentTo(region string) int64 { return h.links.Sent(region) }

// FillQueue takes every slot of a service that the host holds, and every
// place in its queue, until the context ends.
func (h *Host) FillQueue(ctx context.Context, service, rule string) {
	gate := h.services.Get(service).Gate
	for range gate.Load().Held {
		_, _ = gate.Acquire(ctx, rule, time.Time{})
	}
	for range gate.Load().Held {
		go gate.Acquire(ctx, rule, time.Now().Add(time.Minute))
	}
}

// QueueAt has a request wait at zones that were found full, in their order.
func (h *Host) QueueAt(ctx context.Context, req *call.Request, full ...steer.Choice) (*call.Answer, error) {
	svc, _ := h.View().Service(req.Service)
	d := &dispatcher{host: h, svc: svc, state: h.services.Get(req.Service), req: req}
	d.state.Decide(func(dec *steer.Decider) { dec.Begin(&d.plan) })
	for _, c := range full {
		d.mayQueueAt(c)
	}
	return d.queue(ctx)
}
