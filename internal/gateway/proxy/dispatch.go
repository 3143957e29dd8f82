package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/route"
	"cairndock/internal/verdict"
)

const (
	// defaultTimeout bounds a request whose caller and route tell no bound.
	defaultTimeout = 30 * time.Second
	// busyPause is when a caller comes back after a refusal for load, at the
	// earliest, and busySpread how much later at the most: those that were
	// refused together should not come back together.
	busyPause  = 350 * time.Millisecond
	busySpread = 400 * time.Millisecond
	// soonPause is when a caller comes back whose request failed for another
	// reason and did not run: an upstream that was gone, mostly.
	soonPause = 150 * time.Millisecond
)

// comeBack is when a caller that was refused for load should come back.
func comeBack() time.Duration { return busyPause + rand.N(busySpread) }

// dispatch takes one request through its attempts.
type dispatch struct {
	gateway *Gateway
	call    Call
	began   time.Time
	table   *route.Table
	route   *route.Route
	service string
	request *exchange.Request
	// caller ends when the caller leaves.
	caller context.Context

	tried []string
	// resend says that an attempt was given up for another, which the
	// budget has granted.
	resend bool
	// doubt is the failure after which the request may have run.
	doubt *verdict.Error
}

// deadline is when the request must have its final answer.
func (d *dispatch) deadline() time.Time {
	hold := defaultTimeout
	if d.call.Patience > 0 {
		hold = d.call.Patience
	}
	if d.route != nil && d.route.Timeout > 0 {
		hold = min(hold, d.route.Timeout)
	}
	return d.began.Add(hold)
}

// context ends at the request's deadline, when the host must end and, if the
// request may be repeated, when its caller leaves. One that may not is left to
// its end: to break it off would only make its outcome unknown.
func (d *dispatch) context(caller context.Context) (context.Context, context.CancelFunc) {
	d.caller = caller
	if d.route.Repeat != route.Repeatable {
		caller = context.WithoutCancel(caller)
	}
	ctx, cancel := context.WithDeadline(caller, d.deadline())
	stop := context.AfterFunc(d.gateway.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// run sends the request until it has an answer or must be given up.
func (d *dispatch) run(ctx context.Context) (*answer, error) {
	d.gateway.Budget.Request(d.service, d.began)
	for {
		choice, err := d.choose()
		if err != nil {
			return nil, d.final(err)
		}
		a, err := d.attempt(ctx, choice)
		if err == nil {
			return a, nil
		}
		if !d.again(ctx, err) {
			return nil, d.final(err)
		}
	}
}

// choose finds the next upstream.
func (d *dispatch) choose() (balance.Choice, error) {
	choice, reason := d.gateway.Balancer.Choose(balance.Query{
		Key:        d.key(),
		Anywhere:   d.call.Key == "" || !d.route.Sticky,
		Candidates: d.gateway.Knowledge.Set().Service(d.service),
		Allows:     d.allows(),
		Priority:   d.route.Priority,
		Bulk:       d.route.Bulk,
		Mixed:      d.table.Mixed(d.service),
		Tried:      d.tried,
		ColdRate:   d.table.Service(d.service).WarmUpRate,
		Now:        time.Now(),
	})
	switch reason {
	case balance.Chosen:
		return choice, nil
	case balance.Full:
		return choice, d.refused(verdict.Full, choice)
	case balance.Cold:
		return choice, d.refused(verdict.Warming, choice)
	default:
		return choice, verdict.New(verdict.NotRun, verdict.NoUpstream, "no upstream of %s may serve this", d.service).WithRetryAfter(comeBack())
	}
}

// key is what decides the request's homes. A request that is about nothing in
// particular has homes of its own, so that such requests do not all meet at
// the same upstreams.
func (d *dispatch) key() string {
	if d.call.Key != "" {
		return d.call.Key
	}
	return d.call.ID
}

// refused tells what the first home of the request's key was like.
func (d *dispatch) refused(reason verdict.Reason, c balance.Choice) error {
	return verdict.New(verdict.NotRun, reason, "home %s has load %.2f, told %d ms ago, cold %t",
		c.Instance.ID, c.Load, c.LoadAge.Milliseconds(), c.Cold).WithRetryAfter(comeBack())
}

func (d *dispatch) allows() func(string) bool {
	if len(d.route.Regions) == 0 {
		return nil
	}
	return d.route.Allows
}

// again decides whether a failed request is sent once more.
func (d *dispatch) again(ctx context.Context, err error) bool {
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun {
		d.doubt = e
	}
	if ctx.Err() != nil || d.caller.Err() != nil || len(d.tried) >= max(1, d.route.Attempts) {
		return false
	}
	if d.doubt != nil && d.route.Repeat != route.Repeatable {
		return false
	}
	if d.resend {
		d.resend = false
		return true
	}
	return d.gateway.Budget.Take(d.service, d.gateway.Hosts.Hosts(), time.Now())
}

// final is the verdict over all attempts: one doubt is enough.
func (d *dispatch) final(err error) error {
	e := verdict.From(err)
	if d.doubt != nil {
		e = d.doubt
	}
	e = d.interrupted(e)
	if e.Verdict != verdict.NotRun {
		return e
	}
	switch {
	case e.RetryAfter > 0:
		return e
	case e.Reason == verdict.UpstreamShed:
		return e.WithRetryAfter(comeBack())
	default:
		return e.WithRetryAfter(soonPause)
	}
}

// interrupted tells a request that the host gave up at its own end from one
// whose caller left.
func (d *dispatch) interrupted(e *verdict.Error) *verdict.Error {
	if e.Reason != verdict.CallerLeft || d.caller.Err() != nil || d.gateway.ending.Err() == nil {
		return e
	}
	reason := verdict.Interrupted
	if e.Verdict == verdict.NotRun {
		reason = verdict.Stopping
	}
	return verdict.New(e.Verdict, reason, "the host is stopping").WithUpstream(e.Upstream)
}

// attempt sends the request to one upstream.
func (d *dispatch) attempt(ctx context.Context, c balance.Choice) (*answer, error) {
	ctx, span := d.startAttempt(ctx, c)
	a, err := d.send(ctx, c)
	endSpan(span, err)
	return a, err
}

// send sends the request and reads the beginning of the answer.
func (d *dispatch) send(ctx context.Context, c balance.Choice) (*answer, error) {
	began := time.Now()
	in := c.Instance
	d.tried = append(d.tried, in.ID)
	target := exchange.Target{Instance: in.ID, Address: in.Address}
	// An answer that is passed on needs the context; the request's own ends it.
	ctx, giveUp := context.WithCancel(ctx)
	observed := d.observe(c, began, giveUp)
	a, err := d.gateway.Client.Send(ctx, target, d.request)
	if err == nil {
		a, err = d.accept(in.ID, a)
	}
	if observed.ended(a, err) {
		if err == nil { // it came in the same moment
			_ = a.Body.Close()
		}
		d.resend, err = true, overdue(in.ID)
	}
	if err != nil {
		giveUp()
		e := verdict.From(err)
		d.gateway.Balancer.Done(in.ID, outcomeOf(e), time.Now())
		d.logAttempt(c, began, 0, e)
		return nil, err
	}
	primed, err := prime(a)
	if err != nil {
		d.gateway.Balancer.Done(in.ID, balance.Failed, time.Now())
		e := verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "the answer broke off: %v", err).WithUpstream(in.ID)
		if ctx.Err() != nil {
			e.Reason = verdict.DeadlineLapsed
		}
		if speaksAgainst(e.Reason) {
			d.gateway.Judge.Bad(in.ID, time.Now())
		}
		d.logAttempt(c, began, a.Status, e)
		return nil, e
	}
	d.logAttempt(c, began, a.Status, nil)
	primed.ended = func(err error) { d.ended(in.ID, err) }
	return primed, nil
}

func (d *dispatch) ended(id string, err error) {
	outcome := balance.Answered
	if err != nil {
		outcome = balance.Abandoned
	}
	d.gateway.Balancer.Done(id, outcome, time.Now())
}

func outcomeOf(e *verdict.Error) balance.Outcome {
	switch e.Reason {
	case verdict.UpstreamShed:
		return balance.Shed
	case verdict.Unreachable, verdict.Misdirected:
		return balance.Unreachable
	case verdict.CallerLeft, verdict.DeadlineLapsed:
		return balance.Abandoned
	default:
		return balance.Failed
	}
}

// accept decides whether an answer may be passed on.
func (d *dispatch) accept(id string, a *exchange.Answer) (*exchange.Answer, error) {
	if l := a.Sign.Load; l.Known {
		d.gateway.Balancer.Told(id, l.Running, l.Waiting, time.Now())
	}
	var e *verdict.Error
	switch {
	case a.Sign.Misdirected:
		e = verdict.New(verdict.NotRun, verdict.Misdirected, "another instance has the address")
	case a.Sign.NotRun:
		e = verdict.New(verdict.NotRun, verdict.UpstreamShed, "upstream refused with %d", a.Status)
	case a.Status < http.StatusMultipleChoices && !a.Sign.Genuine:
		e = verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "a success without proof of origin")
	case promises(a.Status):
		e = verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "status %d without proof that it did not run", a.Status)
	default:
		return a, nil
	}
	// A refusal is short; its connection can be used again.
	if _, err := io.CopyN(io.Discard, a.Body, maxRefusal); err != nil && !errors.Is(err, io.EOF) {
		e.Detail += ", and broke off"
	}
	_ = a.Body.Close()
	return nil, e.WithUpstream(id)
}

// maxRefusal bounds what is read of a refusal, in bytes.
const maxRefusal = 16 << 10

// promises reports whether a status promises callers that a request did not
// run; only proof allows it.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (d *dispatch) logAttempt(c balance.Choice, began time.Time, status int, e *verdict.Error) {
	ev := eventlog.Attempt{
		Request: d.call.ID, Route: d.route.Name, Service: d.service, Upstream: c.Instance.ID, Zone: c.Instance.Zone,
		Key: d.call.Key, Number: len(d.tried), Config: d.table.Version, Load: c.Load, LoadAge: c.LoadAge, Rank: c.Rank, Cold: c.Cold,
		Outcome: "answered", Status: status, Took: time.Since(began),
	}
	if e != nil {
		ev.Outcome, ev.Failed, ev.Detail = string(e.Reason), true, e.Detail
		d.gateway.Metrics.Count(`cairndock_attempt_failures_total{reason="` + string(e.Reason) + `"}`)
	}
	d.gateway.Log.Attempt(ev)
}

func (d *dispatch) logFinal(status int, e *verdict.Error) {
	ev := eventlog.Final{
		Request: d.call.ID, Service: d.service, Attempts: len(d.tried), Status: status, Verdict: verdict.Ran.String(),
		ConfigAge: d.gateway.Ages.Intents(), UpstreamsAge: d.gateway.Ages.Upstreams(), Took: time.Since(d.began),
	}
	if d.table != nil {
		ev.Config = d.table.Version
	}
	if d.route != nil {
		ev.Route = d.route.Name
	}
	if e != nil {
		ev.Verdict, ev.Reason, ev.Detail, ev.Failed = e.Verdict.String(), string(e.Reason), e.Detail, true
	}
	d.gateway.Log.Final(ev)
}
