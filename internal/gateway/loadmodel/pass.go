package loadmodel

import (
	"strconv"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/verdict"
)

// pass is one try of a call at a host.
type pass struct {
	host  *host
	call  *call
	began time.Time
	tried []string
	// refused is how many of tried refused the connection.
	refused int
	running []*attempt
	ended   bool
	timeout *event
}

// hold is how long the host holds the call.
func (p *pass) hold() time.Duration {
	hold := p.call.left()
	if t := time.Duration(p.call.route.Timeout); t > 0 {
		hold = min(hold, t)
	}
	return hold
}

func (p *pass) query() balance.Query {
	r := p.call.route
	key := p.call.object
	if key == "" {
		key = strconv.Itoa(p.host.model.random.Int())
	}
	return balance.Query{
		Key: key, NoAffinity: r.Objects == 0, Upstreams: p.host.model.entries[r.Service],
		Priority: r.Priority, Tried: p.tried, Now: p.host.model.clock.now,
	}
}

// start sends the call to an upstream.
func (p *pass) start(c balance.Choice) {
	h, m := p.host, p.host.model
	p.tried = append(p.tried, c.Upstream.ID)
	a := &attempt{pass: p, choice: c, server: m.servers[c.Upstream.ID], began: m.clock.now}
	p.running = append(p.running, a)
	if after := h.detector.OverdueAfter(p.call.route.Service, c.Load); after > 0 {
		a.overdue = m.clock.in(after, a.markOverdue)
	}
	h.balancer.Sent(c, m.clock.now)
	way := m.way(h.zone, c.Upstream)
	if a.server.down {
		m.clock.in(2*way, func() { a.end(verdict.ConnectionRefused) })
		return
	}
	m.result.sent(h.zone, c.Upstream)
	a.work = &work{route: p.call.route, object: p.call.object}
	a.work.done = func(r response) { m.clock.in(way, func() { a.answer(r) }) }
	m.clock.in(way, func() {
		if !a.work.canceled {
			a.server.receive(a.work)
		}
	})
}

// anyOnTime reports whether an attempt runs that is not overdue.
func (p *pass) anyOnTime() bool {
	for _, a := range p.running {
		if !a.late {
			return true
		}
	}
	return false
}

// retry chooses another upstream for a call whose attempt failed for a reason.
func (p *pass) retry(reason verdict.Reason) (balance.Choice, bool) {
	if !p.host.variant.Retry || !p.state().MayRetry(p.ended) {
		return balance.Choice{}, false
	}
	if reason != verdict.ConnectionRefused {
		return p.choose()
	}
	c, why := p.host.balancer.Choose(p.query())
	if why != balance.Chosen {
		return c, false
	}
	if !p.state().MayUseUpstream(c.Load) {
		p.host.balancer.Done(c)
		return c, false
	}
	return c, true
}

// state is what the rules of retries look at. An attempt of the model fails only
// without having run, or with the whole pass at its timeout.
func (p *pass) state() retry.State {
	r := p.call.route
	return retry.State{Attempts: len(p.tried), Refused: p.refused, MaxAttempts: r.Attempts, Repeatable: r.Repeatable}
}

// choose takes a retry from the budget and chooses an upstream for it.
func (p *pass) choose() (balance.Choice, bool) {
	h, now := p.host, p.host.model.clock.now
	service := p.call.route.Service
	if !h.budget.TryRetry(service, 1/float64(len(h.model.hosts)), now) {
		return balance.Choice{}, false
	}
	c, reason := h.balancer.Choose(p.query())
	if reason != balance.Chosen {
		h.budget.Return(service, now)
		return balance.Choice{}, false
	}
	return c, true
}

// lapse is the end of the time that the host holds the call.
func (p *pass) lapse() {
	if p.ended {
		return
	}
	p.finish()
	p.call.failed()
}

// finish gives up what still runs.
func (p *pass) finish() {
	p.ended = true
	p.timeout.cancel()
	for len(p.running) > 0 {
		a := p.running[0]
		if a.work != nil {
			a.server.cancel(a.work)
		}
		a.release(outlier.Canceled)
	}
}

// refuse answers that the call did not run.
func (p *pass) refuse(reason verdict.Reason) {
	p.ended = true
	p.timeout.cancel()
	p.call.refused(p.host.pause(reason))
}
