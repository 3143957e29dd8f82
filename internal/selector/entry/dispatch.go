package entry

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/steer"
	"cairndock/internal/selector/upstream"
	"cairndock/internal/verdict"
)

const (
	// maxTries bounds how often one request is sent to an upstream, and
	// maxOffers how often it is offered to a zone, full ones included.
	maxTries  = 4
	maxOffers = 8
	// comeBack is when a refused caller is told to come back.
	comeBack = time.Second
	// queuePart is the part of the time left that a request may spend
	// waiting for a slot.
	queuePart = 4
	// maxQueues bounds the full zones of a rule at which a request asks to
	// wait: where the first one's queue is full as well, another's may have
	// room.
	maxQueues = 2
)

// Do serves a request that a caller sent to this host. Its error is a
// *verdict.Error.
func (h *Host) Do(ctx context.Context, req *call.Request) (*call.Answer, error) {
	if req.Ticket != "" {
		return h.doTicketed(ctx, req)
	}
	return h.dispatch(ctx, req)
}

// dispatch decides where a request goes, and offers it to other zones as
// long as it provably did not run, or may be repeated.
func (h *Host) dispatch(ctx context.Context, req *call.Request) (*call.Answer, error) {
	ctx, span := h.tracer.Start(ctx, "dispatch", trace.WithAttributes(attribute.String("service", req.Service)))
	defer span.End()
	svc, ok := h.View().Service(req.Service)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", req.Service)
	}
	d := &dispatcher{host: h, svc: svc, state: h.services.Get(req.Service), req: req}
	d.state.Decide(func(dec *steer.Decider) { dec.Begin(&d.plan) })
	answer, err := d.run(ctx)
	if err != nil {
		span.SetAttributes(attribute.String("verdict", verdict.From(err).Verdict.String()))
	}
	return answer, err
}

// dispatcher takes one request through its tries.
type dispatcher struct {
	host  *Host
	svc   *config.ServiceView
	state *services.Service
	req   *call.Request
	plan  steer.Plan
	last  *verdict.Error
	// doubt says that a try may have run: the final verdict can't be less.
	doubt bool
	// offers counts the zones asked, and sends those that did not refuse
	// for being full: only these cost the budget of retries, since a zone
	// that is full costs a hop, and is then not asked for a while. They and
	// spent are under state's lock, as a hedge runs beside the first try.
	offers int
	sends  int
	// spent says that the budget of retries is used up.
	spent bool
	// queueAt holds the first full zones of each rule, where to wait at last.
	queueAt []steer.Choice
}

func (d *dispatcher) run(ctx context.Context) (*call.Answer, error) {
	for d.mayTry() {
		choice, ok := d.next()
		if !ok {
			break
		}
		if choice.Full && !choice.Local {
			d.mayQueueAt(choice)
			continue
		}
		answer, err := d.try(ctx, choice)
		if err == nil {
			return answer, nil
		}
		if !d.goOn(ctx, choice, err) {
			return nil, d.final()
		}
	}
	return d.queue(ctx)
}

// mayTry reports whether the request may be sent once more.
func (d *dispatcher) mayTry() bool {
	may := false
	d.state.Decide(func(*steer.Decider) { may = d.sends < maxTries && d.offers < maxOffers && !d.spent })
	return may
}

// queue waits for a slot at the best zone that was full, until a part of
// the time left has passed. A rule that has come to its cap meanwhile is
// passed over, and so is a zone whose queue is full.
func (d *dispatcher) queue(ctx context.Context) (*call.Answer, error) {
	until := time.Now().Add(time.Until(d.req.Deadline) / queuePart)
	for _, choice := range d.queueAt {
		if ctx.Err() != nil || !d.mayTry() || time.Now().After(until) {
			break
		}
		answer, err := prime(d.offer(ctx, choice, until))
		if err == nil {
			return answer, nil
		}
		if !d.mayQueueElsewhere(choice, err) {
			break
		}
	}
	return nil, d.final()
}

// mayQueueElsewhere notes why a request may not wait at a zone, and says
// whether it may ask another.
func (d *dispatcher) mayQueueElsewhere(c steer.Choice, err error) bool {
	switch d.note(err).Reason {
	case verdict.Capped:
		return true
	case verdict.Full:
		d.bounced(c)
		return true
	default:
		return false
	}
}

// primeBytes is the size up to which an answer is read whole before any of
// it goes to the caller: one that breaks off is then a verdict, and may be
// asked for again.
const primeBytes = 32 << 10

// primeSize leaves one byte more than a small answer has, to see its end.
func primeSize(length int64) int {
	if length >= 0 && length < primeBytes {
		return int(length) + 1
	}
	return primeBytes + 1
}

// primedBody gives what was read ahead and then the rest.
type primedBody struct {
	io.Reader
	io.Closer
}

// prime reads the beginning of an answer ahead.
func prime(a *call.Answer, err error) (*call.Answer, error) {
	if err != nil {
		return nil, err
	}
	small := a.Length >= 0 && a.Length <= primeBytes
	buf := make([]byte, primeSize(a.Length))
	n, readErr := 0, error(nil)
	for readErr == nil && n < len(buf) {
		var m int
		m, readErr = a.Body.Read(buf[n:])
		n += m
		if !small && n > 0 {
			break
		}
	}
	if readErr != nil && readErr != io.EOF {
		_ = a.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "the answer broke off: %v", readErr).WithUpstream(a.Upstream)
	}
	out := *a
	ahead := io.Reader(bytes.NewReader(buf[:n]))
	if readErr == nil {
		ahead = io.MultiReader(ahead, a.Body)
	}
	out.Body = primedBody{ahead, a.Body}
	return &out, nil
}

func (d *dispatcher) next() (choice steer.Choice, ok bool) {
	now := d.host.now()
	held, out, latency := d.state.Usage()
	d.state.Decide(func(dec *steer.Decider) {
		dec.SetLocal(held, out, latency)
		choice, ok = dec.Next(&d.plan, now)
	})
	return choice, ok
}

// commit counts a sending against the cap and, from the second on, against
// the budget of retries.
func (d *dispatcher) commit(c steer.Choice) (refusal *verdict.Error) {
	d.state.Decide(func(dec *steer.Decider) {
		switch {
		case d.sends > 0 && !dec.Retries().Take():
			d.spent = true
			refusal = verdict.New(verdict.NotRun, verdict.Full, "no retries left")
		case !dec.Commit(&d.plan, c):
			refusal = verdict.New(verdict.NotRun, verdict.Capped, "rule %q is at its cap", c.Rule).WithRetryAfter(comeBack)
		default:
			d.sends++
			d.offers++
		}
	})
	return refusal
}

// offer sends the request to a zone. Until says how long it may wait for a
// slot there; the zero time is not at all.
func (d *dispatcher) offer(ctx context.Context, c steer.Choice, until time.Time) (*call.Answer, error) {
	if !c.Local {
		return d.offerPeers(ctx, c, until)
	}
	// Locally the slot is taken first: a request that finds none was not
	// sent, and uses no room under the cap.
	lease, err := d.host.acquire(ctx, d.req.Service, c.Rule, until)
	if err != nil {
		if d.host.zonePeersMayHelp(d.req.Service) {
			return d.offerPeers(ctx, c, until)
		}
		return nil, err
	}
	if err := d.commit(c); err != nil {
		d.state.Gate.Release(lease, slot.Unused, 0)
		return nil, err
	}
	return d.untilEnd(c)(d.host.send(ctx, d.state, lease, d.req))
}

// offerPeers passes the request to a host of the choice's zone; of the own
// zone, when this host is full, to one that said it has a free slot.
func (d *dispatcher) offerPeers(ctx context.Context, c steer.Choice, until time.Time) (*call.Answer, error) {
	if err := d.commit(c); err != nil {
		return nil, err
	}
	return d.untilEnd(c)(d.host.forward(ctx, d.req, c.Zone, c.Rule, until))
}

// untilEnd counts a committed request as outstanding until its answer is
// read or it has failed.
func (d *dispatcher) untilEnd(c steer.Choice) func(*call.Answer, error) (*call.Answer, error) {
	var once sync.Once
	ended := func() {
		once.Do(func() {
			d.state.Decide(func(dec *steer.Decider) { dec.Ended(c.Zone) })
		})
	}
	return func(a *call.Answer, err error) (*call.Answer, error) {
		if err != nil {
			ended()
			return nil, err
		}
		out := *a
		out.Body = endBody{a.Body, ended}
		return &out, nil
	}
}

// endBody does something once its body is closed.
type endBody struct {
	io.ReadCloser
	end func()
}

// Close closes the body and then does the rest.
func (b endBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

// goOn notes a failed try and says whether another may follow.
func (d *dispatcher) goOn(ctx context.Context, c steer.Choice, err error) bool {
	e := d.note(err)
	if e.Reason == verdict.Full {
		d.mayQueueAt(c)
		d.bounced(c)
	}
	if e.Reason == verdict.UpstreamShed || e.Reason == verdict.Full {
		d.slow(c.Rule)
	}
	if ctx.Err() != nil || time.Now().After(d.req.Deadline) {
		return false
	}
	if e.Verdict == verdict.NotRun {
		return true
	}
	return d.svc.Repeat.Allows(d.req.Method) && d.req.Ticket == ""
}

// bounced notes that a zone was full: nothing reached an upstream there.
func (d *dispatcher) bounced(c steer.Choice) {
	now := d.host.now()
	d.state.Decide(func(dec *steer.Decider) {
		dec.Refused(c.Zone, now)
		d.sends = max(0, d.sends-1)
	})
}

// mayQueueAt remembers the first zones of a rule that were found full.
func (d *dispatcher) mayQueueAt(c steer.Choice) {
	ofRule := 0
	for _, known := range d.queueAt {
		if known.Rule == c.Rule {
			ofRule++
		}
	}
	if ofRule < maxQueues {
		d.queueAt = append(d.queueAt, c)
	}
}

func (d *dispatcher) slow(rule string) {
	d.state.Decide(func(dec *steer.Decider) { dec.Meter().Slow(rule) })
}

func (d *dispatcher) note(err error) *verdict.Error {
	e := verdict.From(err)
	d.last = e
	if e.Verdict != verdict.NotRun {
		d.doubt = true
	}
	return e
}

// final is the verdict over all tries: one doubt is enough.
func (d *dispatcher) final() error {
	e := d.last
	switch {
	case e == nil && d.plan.Capped:
		e = verdict.New(verdict.NotRun, verdict.Capped, "every rule is at its cap")
	case e == nil:
		e = verdict.New(verdict.NotRun, verdict.NoUpstream, "no zone has an upstream that can be reached")
	}
	out := *e
	if d.doubt && out.Verdict == verdict.NotRun {
		out.Verdict = verdict.MayHaveRun
	}
	if out.RetryAfter == 0 && out.Verdict == verdict.NotRun {
		out.RetryAfter = comeBack
	}
	return &out
}

// acquire takes a slot of the own zone.
func (h *Host) acquire(ctx context.Context, name, rule string, until time.Time) (slot.Lease, error) {
	gate := h.services.Get(name).Gate
	lease, refusal := gate.Acquire(ctx, rule, until)
	// Only now, as the host may have been paused while the request waited.
	if refusal == slot.Granted && !h.fence.Open() {
		gate.Release(lease, slot.Unused, 0)
		return lease, verdict.New(verdict.NotRun, verdict.NotReady, "host was paused").WithRetryAfter(comeBack)
	}
	switch refusal {
	case slot.Granted:
		return lease, nil
	case slot.Capped:
		return lease, verdict.New(verdict.NotRun, verdict.Capped, "rule %q is at its limit here", rule).WithRetryAfter(comeBack)
	case slot.NoRule:
		return lease, verdict.New(verdict.NotRun, verdict.NoUpstream, "no rule %q here", rule)
	default:
		return lease, verdict.New(verdict.NotRun, verdict.Full, "no free slot in %s", h.self.Zone).WithRetryAfter(comeBack)
	}
}

// send sends a request to the upstream of a slot in hand.
func (h *Host) send(ctx context.Context, s *services.Service, lease slot.Lease, req *call.Request) (*call.Answer, error) {
	target, ok := h.target(req.Service, lease.Upstream())
	if !ok {
		s.Gate.Release(lease, slot.Unused, 0)
		return nil, verdict.New(verdict.NotRun, verdict.NoUpstream, "upstream was removed")
	}
	ctx, span := h.tracer.Start(ctx, "upstream", trace.WithAttributes(attribute.String("upstream", target.Name)))
	defer span.End()
	answer, err := h.client.Send(ctx, target, req, func(o slot.Outcome, latency time.Duration) {
		s.Gate.Release(lease, o, latency)
	})
	if err != nil {
		h.metrics.Count(`cairndock_upstream_failures_total{verdict="` + verdict.From(err).Verdict.String() + `"}`)
		return nil, err
	}
	return answer, nil
}

func (h *Host) target(service, name string) (upstream.Target, bool) {
	u, ok := h.View().LocalUpstream(name)
	if !ok || u.Service != service {
		return upstream.Target{}, false
	}
	return upstream.Target{Name: u.Name, Zone: u.Zone, Addr: u.Addr}, true
}
