package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/admission"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/steer"
	"cairndock/internal/verdict"
)

// request is the state of one request across its tries.
type request struct {
	*Dispatcher
	svc   *config.ServiceView
	state *services.Service
	req   *call.Request
	plan  steer.Plan
	last  *verdict.Error
	// inDoubt is set when a try may have run. The final verdict then cannot be
	// that the request did not run.
	inDoubt bool
	// offers counts the zones that the request was offered to. sends counts
	// the offers that were not refused because the zone was full and that may
	// have reached an upstream. Only sends use the retry budget: a full zone
	// costs one hop and is then skipped for a while. Both counters and
	// budgetSpent are accessed inside state.Decide, because a hedge runs
	// concurrently with the first try.
	offers int
	sends  int
	// budgetSpent is set when the retry budget is used up.
	budgetSpent bool
	// queueCandidates are the first full zones of each rule. The request waits
	// in their queues when no zone has a free slot.
	queueCandidates []steer.Choice
}

// run offers the request to one zone after another. When no zone takes the
// request, run waits in the queue of a zone that was full.
func (r *request) run(ctx context.Context) (*call.Response, error) {
	for r.triesLeft() {
		choice, ok := r.next()
		if !ok {
			break
		}
		if choice.Full && !choice.Local {
			r.addQueueCandidate(choice)
			continue
		}
		resp, err := r.try(ctx, choice)
		if err == nil {
			return resp, nil
		}
		if !r.recordFailure(ctx, choice, err) {
			return nil, finalVerdict(r.last, r.inDoubt, r.plan.Capped)
		}
	}
	return r.queue(ctx)
}

// triesLeft reports whether the request may be sent again.
func (r *request) triesLeft() bool {
	may := false
	r.state.Decide(func(*steer.Decider) { may = mayTry(r.sends, r.offers, r.budgetSpent) })
	return may
}

// queue waits for a slot in the best zone that was full.
func (r *request) queue(ctx context.Context) (*call.Response, error) {
	until := queueDeadline(time.Now(), r.req.Deadline)
	for _, choice := range r.queueCandidates {
		if ctx.Err() != nil || !r.triesLeft() || time.Now().After(until) {
			break
		}
		resp, err := bufferPrefix(r.offer(ctx, choice, until))
		if err == nil {
			return resp, nil
		}
		reason := r.recordError(err).Reason
		if reason == verdict.Full {
			r.recordFull(choice)
		}
		if !mayQueueElsewhere(reason) {
			break
		}
	}
	return nil, finalVerdict(r.last, r.inDoubt, r.plan.Capped)
}

// next returns the zone to try next.
func (r *request) next() (choice steer.Choice, ok bool) {
	now := r.Now()
	held, out, latency := r.state.Usage()
	r.state.Decide(func(dec *steer.Decider) {
		dec.SetLocal(held, out, latency)
		choice, ok = dec.Next(&r.plan, now)
	})
	return choice, ok
}

// commit counts a send against the cap of its rule. The second and later sends
// also count against the retry budget.
func (r *request) commit(c steer.Choice) (refusal *verdict.Error) {
	r.state.Decide(func(dec *steer.Decider) {
		switch {
		case r.sends > 0 && !dec.Retries().Take():
			r.budgetSpent = true
			refusal = verdict.New(verdict.NotRun, verdict.Full, "no retries left")
		case !dec.Commit(&r.plan, c):
			refusal = verdict.New(verdict.NotRun, verdict.Capped, "rule %q is at its cap", c.Rule).WithRetryAfter(admission.RetryAfter)
		default:
			r.sends++
			r.offers++
		}
	})
	return refusal
}

// offer sends the request to a zone, where it may wait for a slot until the
// given time. With the zero time, the request does not wait.
func (r *request) offer(ctx context.Context, c steer.Choice, until time.Time) (*call.Response, error) {
	if !c.Local {
		return r.offerPeers(ctx, c, until)
	}
	// In the host's own zone the slot is acquired first: a request that finds
	// no slot was not sent and must not count against the cap.
	lease, err := r.Admitter.Acquire(ctx, r.req.Service, c.Rule, until)
	if err != nil {
		if r.Forwarder.ZoneMayHelp(r.req.Service) {
			return r.offerPeers(ctx, c, until)
		}
		return nil, err
	}
	if err := r.commit(c); err != nil {
		r.Admitter.Cancel(r.req.Service, lease)
		return nil, err
	}
	resp, err := r.Admitter.Send(ctx, r.req, lease)
	return r.trackOutstanding(c, resp, err)
}

// offerPeers forwards the request to a host of the chosen zone. When this host
// is full, the target is a host of the same zone that reported a free slot.
func (r *request) offerPeers(ctx context.Context, c steer.Choice, until time.Time) (*call.Response, error) {
	if err := r.commit(c); err != nil {
		return nil, err
	}
	resp, err := r.Forwarder.Forward(ctx, r.req, c.Zone, c.Rule, until)
	return r.trackOutstanding(c, resp, err)
}

// trackOutstanding counts a committed request as outstanding until the body of
// its response is closed or the request has failed.
func (r *request) trackOutstanding(c steer.Choice, resp *call.Response, err error) (*call.Response, error) {
	if err != nil {
		r.endOutstanding(c.Zone)
		return nil, err
	}
	out := *resp
	out.Body = &countedBody{ReadCloser: resp.Body, request: r, zone: c.Zone}
	return &out, nil
}

// endOutstanding stops counting the request as outstanding in a zone.
func (r *request) endOutstanding(zone string) {
	r.state.Decide(func(dec *steer.Decider) { dec.Ended(zone) })
}

// countedBody is a response body. Its request counts as outstanding in the zone
// until the body is closed for the first time.
type countedBody struct {
	io.ReadCloser
	request *request
	zone    string
	once    sync.Once
}

// Close closes the body. The request is then no longer outstanding.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.request.endOutstanding(b.zone) })
	return err
}

// recordFailure records a failed try and reports whether another may follow.
func (r *request) recordFailure(ctx context.Context, c steer.Choice, err error) bool {
	e := r.recordError(err)
	if e.Reason == verdict.Full {
		r.addQueueCandidate(c)
		r.recordFull(c)
	}
	if slowsRamp(e.Reason) {
		r.state.Decide(func(dec *steer.Decider) { dec.Meter().Slow(c.Rule) })
	}
	// Every zone refuses a quarantined request.
	if e.Reason == verdict.Quarantined || ctx.Err() != nil || time.Now().After(r.req.Deadline) {
		return false
	}
	return mayRetry(e.Verdict, r.repeatable(), r.ticketed())
}

// recordFull records that a zone was full. The request did not reach an upstream
// there, so the offer is not counted as a send.
func (r *request) recordFull(c steer.Choice) {
	now := r.Now()
	r.state.Decide(func(dec *steer.Decider) {
		dec.Refused(c.Zone, now)
		r.sends = max(0, r.sends-1)
	})
}

// addQueueCandidate stores a full zone, up to maxQueues zones for each rule.
func (r *request) addQueueCandidate(c steer.Choice) {
	ofRule := 0
	for _, known := range r.queueCandidates {
		if known.Rule == c.Rule {
			ofRule++
		}
	}
	if ofRule < maxQueues {
		r.queueCandidates = append(r.queueCandidates, c)
	}
}

// repeatable reports whether the service allows the request's method to be
// repeated.
func (r *request) repeatable() bool { return r.svc.Repeat.Allows(r.req.Method) }

// ticketed reports whether the request carries a ticket.
func (r *request) ticketed() bool { return r.req.Ticket != "" }

// recordError stores the verdict of a failed try.
func (r *request) recordError(err error) *verdict.Error {
	e := verdict.From(err)
	r.last = e
	if e.Verdict != verdict.NotRun {
		r.inDoubt = true
	}
	if isUnsent(e.Verdict, e.Reason) {
		r.state.Decide(func(*steer.Decider) { r.sends-- })
	}
	return e
}
