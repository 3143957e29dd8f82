package proxy

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/verdict"
)

// maxRefusal bounds what is read of a response that is not forwarded, in bytes:
// reading it whole keeps the connection, a longer one is cheaper to close.
const maxRefusal = 16 << 10

// attempt is one attempt of a request at one upstream, in a goroutine of its own.
type attempt struct {
	inflight *inflight
	choice   balance.Choice
	// number counts the request's attempts from 1.
	number int
	// repeat is set when it took a retry of the budget.
	repeat bool
	began  time.Time
	cancel context.CancelCauseFunc
	// progress tells how far it is.
	progress exchange.Progress

	// overdueAfter is the longest time that a response normally takes; zero when
	// it is not known yet.
	overdueAfter time.Duration
	timer        *time.Timer
	// wait is the waitState, which the attempt's end and its timer set.
	wait atomic.Uint32
}

// waitState is what became of an attempt's wait for its response.
type waitState = uint32

const (
	// waiting: neither the response nor the timer has come.
	waiting waitState = iota
	// inTime: the attempt ended before the timer.
	inTime
	// overdue: the timer came first, and the attempt goes on.
	overdue
)

// markOverdue reports whether the response is overdue from now on; not if it
// has come.
func (a *attempt) markOverdue() bool { return a.wait.CompareAndSwap(waiting, overdue) }

func (a *attempt) isOverdue() bool { return a.wait.Load() == overdue }

// settle ends the wait, and reports whether the response was in time.
func (a *attempt) settle() bool {
	if a.timer != nil {
		a.timer.Stop()
	}
	return a.wait.CompareAndSwap(waiting, inTime)
}

// do sends the request to the upstream, in a span, and buffers the beginning of
// the response. On success the context lives on, as the body is read under it.
func (a *attempt) do(ctx context.Context) (_ *response, err error) {
	f := a.inflight
	ctx, span := f.startAttempt(ctx, a)
	defer func() { endSpan(span, err) }()
	resp, err := a.roundTrip(ctx, f.tracedRequest(ctx, span))
	if err != nil {
		a.cancel(nil)
		e := verdict.From(err)
		f.proxy.release(a.choice, outcomeOf(e.Reason))
		f.logAttempt(a, 0, e)
		return nil, err
	}
	return a.buffer(ctx, resp)
}

// roundTrip sends the request and waits for a response that may be forwarded.
func (a *attempt) roundTrip(ctx context.Context, r *exchange.Request) (*exchange.Response, error) {
	u := a.choice.Upstream
	a.progress.OnSent = a.noteSent
	a.progress.MaySend = func() bool { return a.inflight.proxy.Notices.MaySend(u, time.Now()) }
	resp, err := a.inflight.proxy.Client.SendWatched(ctx, exchange.Target{Upstream: u.ID, Run: u.Run(), Address: u.Address}, r, &a.progress)
	if err == nil {
		err = a.inflight.accept(u, resp, a.began)
	}
	a.inflight.recordHealth(u.Run(), a.settle(), resp, err, a.began)
	if a.progress.ConnectionClosed() {
		a.noteConnectionEnd(ctx)
	}
	if err != nil && isSuperseded(ctx) {
		return nil, superseded(u.ID, verdict.From(err).Verdict)
	}
	return resp, err
}

// noteSent is called when the request was written.
func (a *attempt) noteSent() {
	a.inflight.proxy.Balancer.Sent(a.choice, time.Now())
	if a.choice.Cold {
		a.logWarmUp()
	}
}

// accept takes what a response says of its upstream, whose request was sent at a time, and
// returns nil if it may be forwarded; otherwise it closes it and
// returns the attempt's error.
func (f *inflight) accept(u *upstream.Upstream, resp *exchange.Response, sent time.Time) error {
	f.proxy.Notices.Observe(u.Run(), resp.Info.Notice, sent, time.Now())
	if l := resp.Info.Load; l.Known {
		f.proxy.Balancer.ObserveLoad(u, l.Running, l.Waiting, time.Now())
	}
	e := classify(resp.Status, resp.Info, u.Capacity)
	if e == nil {
		return nil
	}
	e.Upstream = u.ID
	// Read whole, the connection can be used again.
	if _, err := io.CopyN(io.Discard, resp.Body, maxRefusal); err != nil && !errors.Is(err, io.EOF) {
		e.Detail += ", and the response broke off"
	}
	_ = resp.Body.Close() // the attempt has failed already
	return e
}

// buffer reads the beginning of a response. One that breaks off there is a
// failed attempt; any other is released by forward or discard.
func (a *attempt) buffer(ctx context.Context, resp *exchange.Response) (*response, error) {
	f, u := a.inflight, a.choice.Upstream
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, prefixBytes))
	if err != nil {
		_ = resp.Body.Close() // the attempt has failed already
		e := truncated(ctx, u.ID, err)
		f.proxy.release(a.choice, outcomeOfTruncated(e.Reason))
		if isUpstreamFault(e.Reason) {
			f.proxy.Detector.RecordFailure(u.Run(), time.Now())
		}
		if exchange.IsConnectionClosed(err) && e.Reason == verdict.AnswerTruncated {
			a.noteConnectionEnd(ctx)
		}
		f.logAttempt(a, resp.Status, e)
		return nil, e
	}
	f.logAttempt(a, resp.Status, nil)
	out := &response{Response: resp, choice: a.choice, prefix: prefix}
	if out.whole() {
		out.Length = int64(len(prefix))
	}
	return out, nil
}

// discard drops a response that is not forwarded.
func (p *Proxy) discard(resp *response) {
	_ = resp.Body.Close() // it is not used
	p.release(resp.choice, outlier.Canceled)
}

// release ends a request that the balancer counts as outstanding at an
// upstream, and records how it ended.
func (p *Proxy) release(c balance.Choice, o outlier.Outcome) {
	p.Balancer.Done(c)
	p.Detector.RecordOutcome(c.Upstream.Run(), o, time.Now())
}
