package loadmodel

import (
	"strconv"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/verdict"
)

// request is one try of a call at a host.
type request struct {
	host      *host
	call      *call
	startedAt time.Time
	// key is the key of the last choice.
	key   string
	tried []string
	// refusedConnections is the number of upstreams in tried that refused the
	// connection.
	refusedConnections int
	running            []*attempt
	finished           bool
	timeout            *event
}

// timeLimit returns how long the host works on the request at most.
func (req *request) timeLimit() time.Duration {
	limit := req.call.remaining()
	if t := time.Duration(req.call.route.Timeout); t > 0 {
		limit = min(limit, t)
	}
	return limit
}

func (req *request) query() balance.Query {
	r := req.call.route
	key := req.call.object
	if key == "" {
		key = strconv.Itoa(req.host.model.random.Int())
	}
	req.key = key
	return balance.Query{
		Key: key, NoAffinity: r.Objects == 0, MeanBytes: float64(r.Bytes), Upstreams: req.host.model.entries[r.Service],
		Priority: r.Priority, Tried: req.tried, Now: req.host.model.clock.now,
	}
}

// start sends the request to an upstream.
func (req *request) start(c balance.Choice) {
	h, m := req.host, req.host.model
	req.tried = append(req.tried, c.Upstream.ID)
	a := &attempt{request: req, choice: c, upstream: m.upstreams[c.Upstream.ID], startedAt: m.clock.now}
	req.running = append(req.running, a)
	if overdueDelay := h.detector.OverdueAfter(req.call.route.Service, c.Load); overdueDelay > 0 {
		a.overdueTimer = m.clock.after(overdueDelay, a.markOverdue)
	}
	h.balancer.Sent(c, m.clock.now)
	a.countForRollout(req.key)
	m.result.Spread.chosen(c.LoadAge)
	delay := m.oneWayDelay(h.zone, c.Upstream)
	if a.upstream.down {
		m.clock.after(2*delay, func() { a.fail(verdict.ConnectionRefused) })
		return
	}
	m.result.sent(h.zone, c.Upstream, req.call.route)
	if m.clock.now.Before(m.end) { // the few retries after it say nothing of a region
		m.result.shiftOf(h.zone.Region, m.clock.now.Sub(m.start)).add(h.zone.Region != c.Upstream.Region)
	}
	a.job = &job{route: req.call.route, object: req.call.object}
	a.job.done = func(r response) { m.clock.after(delay, func() { a.handleResponse(r) }) }
	m.clock.after(delay, func() {
		if !a.job.canceled {
			a.upstream.receive(a.job)
		}
	})
}

// anyNotOverdue reports whether an attempt is in flight that is not overdue.
func (req *request) anyNotOverdue() bool {
	for _, a := range req.running {
		if !a.isOverdue {
			return true
		}
	}
	return false
}

// retry chooses another upstream after an attempt failed with the reason. It reports
// whether there is one and the rules allow the retry.
func (req *request) retry(reason verdict.Reason) (balance.Choice, bool) {
	if !req.host.variant.Retry || !req.state().MayRetry(req.finished) {
		return balance.Choice{}, false
	}
	if reason != verdict.ConnectionRefused {
		return req.choose()
	}
	c, result := req.chooseUpstream()
	if result != balance.Chosen {
		return c, false
	}
	if !req.state().MayUseUpstream(c.Load) {
		req.host.balancer.Done(c)
		return c, false
	}
	return c, true
}

// state returns the input of the retry rules. A simulated attempt fails only if it
// did not run, or together with the whole request at its timeout.
func (req *request) state() retry.State {
	r := req.call.route
	return retry.State{Attempts: len(req.tried), Refused: req.refusedConnections, MaxAttempts: r.Attempts, Repeatable: r.Repeatable}
}

// choose takes a retry from the budget and chooses an upstream for the retry. The
// retry is returned to the budget if no upstream is available.
func (req *request) choose() (balance.Choice, bool) {
	h, now := req.host, req.host.model.clock.now
	service := req.call.route.Service
	grant := h.budget.TryRetry(service, 1/float64(len(h.model.hosts)), now)
	if grant == nil {
		return balance.Choice{}, false
	}
	c, reason := req.chooseUpstream()
	if reason != balance.Chosen {
		h.budget.Return(grant)
		return balance.Choice{}, false
	}
	return c, true
}

// timeOut fails the request when its time limit has passed.
func (req *request) timeOut() {
	if req.finished {
		return
	}
	req.finish()
	req.call.failed()
}

// finish ends the request and cancels the attempts that are still in flight.
func (req *request) finish() {
	req.finished = true
	req.timeout.cancel()
	for len(req.running) > 0 {
		a := req.running[0]
		if a.job != nil {
			a.upstream.cancel(a.job)
		}
		a.release(outlier.Canceled)
	}
}

// refuse responds to the client that the call did not run.
func (req *request) refuse(reason verdict.Reason) {
	req.finished = true
	req.timeout.cancel()
	req.call.refused(req.host.retryDelay(reason))
}
