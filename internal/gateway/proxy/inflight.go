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
	"cairndock/internal/gateway/outlier"
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
type inflight struct {
	proxy   *Proxy
	info    RequestInfo
	began   time.Time
	table   *route.Table
	route   *route.Route
	service string
	request *exchange.Request
	// caller ends when the caller leaves.
	client context.Context

	tried []string
	// resend says that an attempt was given up for another, which the
	// budget has granted.
	retryGranted bool
	// doubt is the failure after which the request may have run.
	maybeRan *verdict.Error
}

// deadline is when the request must have its final answer.
func (d *inflight) deadline() time.Time {
	hold := defaultTimeout
	if d.info.Timeout > 0 {
		hold = d.info.Timeout
	}
	if d.route != nil && d.route.Timeout > 0 {
		hold = min(hold, d.route.Timeout)
	}
	return d.began.Add(hold)
}

// context ends at the request's deadline, when the host must end and, if the
// request may be repeated, when its caller leaves. One that may not is left to
// its end: to break it off would only make its outcome unknown.
func (d *inflight) context(caller context.Context) (context.Context, context.CancelFunc) {
	d.client = caller
	if d.route.Repeat != route.Repeatable {
		caller = context.WithoutCancel(caller)
	}
	ctx, cancel := context.WithDeadline(caller, d.deadline())
	stop := context.AfterFunc(d.proxy.aborted, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// run sends the request until it has an answer or must be given up.
func (d *inflight) run(ctx context.Context) (*response, error) {
	d.proxy.Budget.RecordRequest(d.service, d.began)
	for {
		choice, err := d.choose()
		if err != nil {
			return nil, d.finalVerdict(err)
		}
		a, err := d.attempt(ctx, choice)
		if err == nil {
			return a, nil
		}
		if !d.shouldRetry(ctx, err) {
			return nil, d.finalVerdict(err)
		}
	}
}

// choose finds the next upstream.
func (d *inflight) choose() (balance.Choice, error) {
	choice, reason := d.proxy.Balancer.Choose(balance.Query{
		Key:        d.key(),
		NoAffinity: d.info.Key == "" || !d.route.Sticky,
		Upstreams:  d.proxy.State.Set().Service(d.service),
		Allows:     d.allows(),
		Priority:   d.route.Priority,
		Bulk:       d.route.Bulk,
		Mixed:      d.table.Mixed(d.service),
		Tried:      d.tried,
		WarmUpRate: d.table.Service(d.service).WarmUpRate,
		Now:        time.Now(),
	})
	switch reason {
	case balance.Chosen:
		return choice, nil
	case balance.Overloaded:
		return choice, d.rejected(verdict.Full, choice)
	case balance.WarmUpLimited:
		return choice, d.rejected(verdict.Warming, choice)
	default:
		return choice, verdict.New(verdict.NotRun, verdict.NoUpstream, "no upstream of %s may serve this", d.service).WithRetryAfter(comeBack())
	}
}

// key is what decides the request's homes. A request that is about nothing in
// particular has homes of its own, so that such requests do not all meet at
// the same upstreams.
func (d *inflight) key() string {
	if d.info.Key != "" {
		return d.info.Key
	}
	return d.info.ID
}

// refused tells what the first home of the request's key was like.
func (d *inflight) rejected(reason verdict.Reason, c balance.Choice) error {
	return verdict.New(verdict.NotRun, reason, "home %s has load %.2f, told %d ms ago, cold %t",
		c.Upstream.ID, c.Load, c.LoadAge.Milliseconds(), c.Cold).WithRetryAfter(comeBack())
}

func (d *inflight) allows() func(string) bool {
	if len(d.route.Regions) == 0 {
		return nil
	}
	return d.route.Allows
}

// again decides whether a failed request is sent once more.
func (d *inflight) shouldRetry(ctx context.Context, err error) bool {
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun {
		d.maybeRan = e
	}
	if ctx.Err() != nil || d.client.Err() != nil || len(d.tried) >= max(1, d.route.Attempts) {
		return false
	}
	if d.maybeRan != nil && d.route.Repeat != route.Repeatable {
		return false
	}
	if d.retryGranted {
		d.retryGranted = false
		return true
	}
	return d.proxy.Budget.TryRetry(d.service, d.proxy.Hosts.Hosts(), time.Now())
}

// final is the verdict over all attempts: one doubt is enough.
func (d *inflight) finalVerdict(err error) error {
	e := verdict.From(err)
	if d.maybeRan != nil {
		e = d.maybeRan
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
func (d *inflight) interrupted(e *verdict.Error) *verdict.Error {
	if e.Reason != verdict.CallerLeft || d.client.Err() != nil || d.proxy.aborted.Err() == nil {
		return e
	}
	reason := verdict.Interrupted
	if e.Verdict == verdict.NotRun {
		reason = verdict.Stopping
	}
	return verdict.New(e.Verdict, reason, "the host is stopping").WithUpstream(e.Upstream)
}

// attempt sends the request to one upstream.
func (d *inflight) attempt(ctx context.Context, c balance.Choice) (*response, error) {
	ctx, span := d.startAttempt(ctx, c)
	a, err := d.send(ctx, c)
	endSpan(span, err)
	return a, err
}

// send sends the request and reads the beginning of the answer.
func (d *inflight) send(ctx context.Context, c balance.Choice) (*response, error) {
	began := time.Now()
	in := c.Upstream
	d.tried = append(d.tried, in.ID)
	target := exchange.Target{UpstreamID: in.ID, Address: in.Address}
	// An answer that is passed on needs the context; the request's own ends it.
	ctx, giveUp := context.WithCancel(ctx)
	observed := d.startOverdueTimer(c, began, giveUp)
	a, err := d.proxy.Client.Send(ctx, target, d.request)
	if err == nil {
		a, err = d.accept(in.ID, a)
	}
	if observed.ended(a, err) {
		if err == nil { // it came in the same moment
			_ = a.Body.Close()
		}
		d.retryGranted, err = true, overdue(in.ID)
	}
	if err != nil {
		giveUp()
		e := verdict.From(err)
		d.proxy.release(in.ID, outcomeOf(e))
		d.logAttempt(c, began, 0, e)
		return nil, err
	}
	primed, err := bufferPrefix(a)
	if err != nil {
		d.proxy.release(in.ID, outlier.Failed)
		e := verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "the answer broke off: %v", err).WithUpstream(in.ID)
		if ctx.Err() != nil {
			e.Reason = verdict.DeadlineLapsed
		}
		if isUpstreamFault(e.Reason) {
			d.proxy.Detector.RecordFailure(in.ID, time.Now())
		}
		d.logAttempt(c, began, a.Status, e)
		return nil, e
	}
	d.logAttempt(c, began, a.Status, nil)
	primed.ended = func(err error) { d.ended(in.ID, err) }
	return primed, nil
}

func (d *inflight) ended(id string, err error) {
	outcome := outlier.Succeeded
	if err != nil {
		outcome = outlier.Canceled
	}
	d.proxy.release(id, outcome)
}

// release ends a request that the balancer counts at an upstream.
func (g *Proxy) release(id string, o outlier.Outcome) {
	g.Balancer.Done(id)
	g.Detector.RecordOutcome(id, o, time.Now())
}

func outcomeOf(e *verdict.Error) outlier.Outcome {
	switch e.Reason {
	case verdict.UpstreamShed:
		return outlier.Rejected
	case verdict.Unreachable, verdict.Misdirected:
		return outlier.Unreachable
	case verdict.CallerLeft, verdict.DeadlineLapsed:
		return outlier.Canceled
	default:
		return outlier.Failed
	}
}

// accept decides whether an answer may be passed on.
func (d *inflight) accept(id string, a *exchange.Response) (*exchange.Response, error) {
	if l := a.Info.Load; l.Known {
		d.proxy.Balancer.ObserveLoad(id, l.Running, l.Waiting, time.Now())
	}
	var e *verdict.Error
	switch {
	case a.Info.Misdirected:
		e = verdict.New(verdict.NotRun, verdict.Misdirected, "another instance has the address")
	case a.Info.NotExecuted:
		e = verdict.New(verdict.NotRun, verdict.UpstreamShed, "upstream refused with %d", a.Status)
	case a.Status < http.StatusMultipleChoices && !a.Info.Signed:
		e = verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "a success without proof of origin")
	case promisesNotRun(a.Status):
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
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (d *inflight) logAttempt(c balance.Choice, began time.Time, status int, e *verdict.Error) {
	ev := eventlog.Attempt{
		Request: d.info.ID, Route: d.route.Name, Service: d.service, Upstream: c.Upstream.ID, Zone: c.Upstream.Zone,
		Key: d.info.Key, Number: len(d.tried), Config: d.table.Version, Load: c.Load, LoadAge: c.LoadAge, Rank: c.Rank, Cold: c.Cold,
		Outcome: "answered", Status: status, Took: time.Since(began),
	}
	if e != nil {
		ev.Outcome, ev.Failed, ev.Detail = string(e.Reason), true, e.Detail
		d.proxy.Metrics.Count(`cairndock_attempt_failures_total{reason="` + string(e.Reason) + `"}`)
	}
	d.proxy.Log.Attempt(ev)
}

func (d *inflight) logFinal(status int, e *verdict.Error) {
	ev := eventlog.Final{
		Request: d.info.ID, Service: d.service, Attempts: len(d.tried), Status: status, Verdict: verdict.Ran.String(),
		ConfigAge: d.proxy.Ages.Config(), UpstreamsAge: d.proxy.Ages.Upstreams(), Took: time.Since(d.began),
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
	d.proxy.Log.Final(ev)
}
