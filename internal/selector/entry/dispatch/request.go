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

// request takes one request through its tries.
type request struct {
	*Dispatcher
	svc   *config.ServiceView
	state *services.Service
	req   *call.Request
	plan  steer.Plan
	last  *verdict.Error
	// doubt is set when a try may have run: the final verdict can't be less.
	doubt bool
	// offers counts the zones asked, and sends those that did not refuse for being
	// full and from which an upstream may have got something: only these cost the
	// budget of retries, since a zone that is full costs a hop, and is then not asked
	// for a while. They and spent are used in state.Decide, as a hedge runs beside the first try.
	offers int
	sends  int
	// spent is set when the budget of retries is used up.
	spent bool
	// queueAt holds the first full zones of each rule, where to wait at last.
	queueAt []steer.Choice
}

// run offers the request to one zone after another, and at last waits at one
// that was full.
func (r *request) run(ctx context.Context) (*call.Response, error) {
	for r.triesLeft() {
		choice, ok := r.next()
		if !ok {
			break
		}
		if choice.Full && !choice.Local {
			r.mayQueueAt(choice)
			continue
		}
		resp, err := r.try(ctx, choice)
		if err == nil {
			return resp, nil
		}
		if !r.noteFailure(ctx, choice, err) {
			return nil, finalVerdict(r.last, r.doubt, r.plan.Capped)
		}
	}
	return r.queue(ctx)
}

// triesLeft reports whether the request may be sent once more.
func (r *request) triesLeft() bool {
	may := false
	r.state.Decide(func(*steer.Decider) { may = mayTry(r.sends, r.offers, r.spent) })
	return may
}

// queue waits for a slot at the best zone that was full.
func (r *request) queue(ctx context.Context) (*call.Response, error) {
	until := queueUntil(time.Now(), r.req.Deadline)
	for _, choice := range r.queueAt {
		if ctx.Err() != nil || !r.triesLeft() || time.Now().After(until) {
			break
		}
		resp, err := bufferPrefix(r.offer(ctx, choice, until))
		if err == nil {
			return resp, nil
		}
		reason := r.note(err).Reason
		if reason == verdict.Full {
			r.noteFull(choice)
		}
		if !mayQueueElsewhere(reason) {
			break
		}
	}
	return nil, finalVerdict(r.last, r.doubt, r.plan.Capped)
}

// next gives the zone to try next.
func (r *request) next() (choice steer.Choice, ok bool) {
	now := r.Now()
	held, out, latency := r.state.Usage()
	r.state.Decide(func(dec *steer.Decider) {
		dec.SetLocal(held, out, latency)
		choice, ok = dec.Next(&r.plan, now)
	})
	return choice, ok
}

// commit counts a sending against the cap and, from the second on, against
// the budget of retries.
func (r *request) commit(c steer.Choice) (refusal *verdict.Error) {
	r.state.Decide(func(dec *steer.Decider) {
		switch {
		case r.sends > 0 && !dec.Retries().Take():
			r.spent = true
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

// offer sends the request to a zone. Until says how long it may wait for a
// slot there; the zero time is not at all.
func (r *request) offer(ctx context.Context, c steer.Choice, until time.Time) (*call.Response, error) {
	if !c.Local {
		return r.offerPeers(ctx, c, until)
	}
	// Locally the slot is taken first: a request that finds none was not
	// sent, and uses no room under the cap.
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
	return r.untilEnd(c, resp, err)
}

// offerPeers forwards the request to a host of the choice's zone; of the own
// zone, when this host is full, to one that reported a free slot.
func (r *request) offerPeers(ctx context.Context, c steer.Choice, until time.Time) (*call.Response, error) {
	if err := r.commit(c); err != nil {
		return nil, err
	}
	resp, err := r.Forwarder.Forward(ctx, r.req, c.Zone, c.Rule, until)
	return r.untilEnd(c, resp, err)
}

// untilEnd counts a committed request as outstanding until its response is
// read or it has failed.
func (r *request) untilEnd(c steer.Choice, resp *call.Response, err error) (*call.Response, error) {
	if err != nil {
		r.ended(c.Zone)
		return nil, err
	}
	out := *resp
	out.Body = &countedBody{ReadCloser: resp.Body, request: r, zone: c.Zone}
	return &out, nil
}

// ended counts the request as no longer outstanding at a zone.
func (r *request) ended(zone string) {
	r.state.Decide(func(dec *steer.Decider) { dec.Ended(zone) })
}

// countedBody is the body of a request that is outstanding at a zone until it
// is closed for the first time.
type countedBody struct {
	io.ReadCloser
	request *request
	zone    string
	once    sync.Once
}

// Close closes the body and ends the count.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.request.ended(b.zone) })
	return err
}

// noteFailure notes a failed try and says whether another may follow.
func (r *request) noteFailure(ctx context.Context, c steer.Choice, err error) bool {
	e := r.note(err)
	if e.Reason == verdict.Full {
		r.mayQueueAt(c)
		r.noteFull(c)
	}
	if slowsRamp(e.Reason) {
		r.state.Decide(func(dec *steer.Decider) { dec.Meter().Slow(c.Rule) })
	}
	// A quarantined request would be refused everywhere.
	if e.Reason == verdict.Quarantined || ctx.Err() != nil || time.Now().After(r.req.Deadline) {
		return false
	}
	return mayRetry(e.Verdict, r.repeatable(), r.ticketed())
}

// noteFull notes that a zone was full: nothing reached an upstream there.
func (r *request) noteFull(c steer.Choice) {
	now := r.Now()
	r.state.Decide(func(dec *steer.Decider) {
		dec.Refused(c.Zone, now)
		r.sends = max(0, r.sends-1)
	})
}

// mayQueueAt remembers the first zones of a rule that were found full.
func (r *request) mayQueueAt(c steer.Choice) {
	ofRule := 0
	for _, known := range r.queueAt {
		if known.Rule == c.Rule {
			ofRule++
		}
	}
	if ofRule < maxQueues {
		r.queueAt = append(r.queueAt, c)
	}
}

// repeatable reports whether the service lets the request's method be repeated.
func (r *request) repeatable() bool { return r.svc.Repeat.Allows(r.req.Method) }

func (r *request) ticketed() bool { return r.req.Ticket != "" }

// note remembers how a try failed.
func (r *request) note(err error) *verdict.Error {
	e := verdict.From(err)
	r.last = e
	if e.Verdict != verdict.NotRun {
		r.doubt = true
	}
	if isUnsent(e.Verdict, e.Reason) {
		r.state.Decide(func(*steer.Decider) { r.sends-- })
	}
	return e
}
