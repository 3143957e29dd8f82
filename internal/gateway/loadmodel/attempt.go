package loadmodel

import (
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/verdict"
)

// attempt is one transmission of a request to one upstream.
type attempt struct {
	request      *request
	choice       balance.Choice
	upstream     *upstreamSim
	startedAt    time.Time
	overdueTimer *event
	isOverdue    bool
	job          *job
	done         bool
	// rollout counts the attempt for a roll-out; nil without one.
	rollout *rollout.Attempt
}

// handleResponse processes the upstream's response.
func (a *attempt) handleResponse(r response) {
	if a.done {
		return
	}
	h, now := a.request.host, a.request.host.model.clock.now
	if !r.silent {
		h.balancer.ObserveLoad(a.choice.Upstream, r.running, r.waiting, now)
	}
	if !r.executed {
		a.fail(a.refusalReason(r))
		return
	}
	if r.failed {
		a.rollout.End(rollout.Failed, now)
		h.detector.RecordFailure(a.choice.Upstream.Run(), now)
		a.release(outlier.Succeeded)
		a.request.finish()
		a.request.call.failed()
		return
	}
	a.rollout.End(rollout.Answered, now)
	service := a.request.call.route.Service
	if a.isOverdue {
		h.detector.RecordLatency(service, now.Sub(a.startedAt))
	} else {
		h.detector.RecordSuccess(service, a.choice.Upstream.Run(), now.Sub(a.startedAt), now)
	}
	a.release(outlier.Succeeded)
	a.request.finish()
	a.request.call.served()
}

// refusalReason derives the reason of a refusal from the load that the upstream
// reported: a refusal with free slots and an empty queue is not due to load.
func (a *attempt) refusalReason(r response) verdict.Reason {
	if r.waiting == 0 && r.running < a.choice.Upstream.Capacity {
		return verdict.UpstreamDeclined
	}
	return verdict.UpstreamShed
}

// fail ends the attempt with a failure. It starts a retry if the rules allow one.
func (a *attempt) fail(reason verdict.Reason) {
	if a.done {
		return
	}
	req, h := a.request, a.request.host
	outcome := outlier.Rejected
	if reason == verdict.ConnectionRefused {
		req.refusedConnections++
		outcome = outlier.Unreachable
		h.detector.RecordFailure(a.choice.Upstream.Run(), h.model.clock.now)
	}
	a.release(outcome)
	if req.finished || req.anyNotOverdue() {
		return
	}
	if c, ok := req.retry(reason); ok {
		req.start(c)
		return
	}
	if len(req.running) == 0 {
		req.refuse(reason)
	}
}

// markOverdue runs when the response is overdue. It records a failure of the
// upstream and sends the request to another one if the rules allow a hedge.
func (a *attempt) markOverdue() {
	req := a.request
	if a.done || req.finished {
		return
	}
	a.isOverdue = true
	h, now := req.host, req.host.model.clock.now
	h.detector.RecordFailure(a.choice.Upstream.Run(), now)
	delay := a.overdueTimer.at.Sub(a.startedAt)
	if !h.variant.Hedge || !req.state().MayHedge(req.timeout.at.Sub(now), delay) {
		return
	}
	if c, ok := req.choose(); ok {
		req.start(c)
	}
}

// release ends an attempt and reports its outcome to the host's balancer and outlier
// detector.
func (a *attempt) release(o outlier.Outcome) {
	if a.done {
		return
	}
	a.done = true
	a.overdueTimer.cancel()
	a.rollout.End(rollout.Undecided, a.request.host.model.clock.now) // unless it ended before
	req := a.request
	for i, r := range req.running {
		if r == a {
			req.running = append(req.running[:i], req.running[i+1:]...)
			break
		}
	}
	req.host.balancer.Done(a.choice)
	req.host.detector.RecordOutcome(a.choice.Upstream.Run(), o, req.host.model.clock.now)
}
