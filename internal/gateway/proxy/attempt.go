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
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/verdict"
)

// maxDiscardBytes limits how much is read from a response that is not forwarded. Reading
// the whole body allows the connection to be reused; for longer bodies, closing the
// connection is cheaper.
const maxDiscardBytes = 16 << 10

// maxDiscardTime limits how long the next attempt waits for the body of a response that is not
// forwarded. Most bodies arrive together with their head.
const maxDiscardTime = 50 * time.Millisecond

// attempt is one attempt of a request at one upstream. It runs in its own goroutine.
type attempt struct {
	inflight *inflight
	choice   balance.Choice
	// number is the position among the request's attempts, starting from 1.
	number int
	// grant is the retry of the budget that the attempt uses; nil if it uses none.
	grant  *retry.Grant
	began  time.Time
	cancel context.CancelCauseFunc
	// progress is the state of the exchange with the upstream.
	progress exchange.Progress
	// rollout counts the attempt for the service's roll-out; nil if there is none.
	rollout *rollout.Attempt

	// overdueAfter is the longest time that a response normally takes; zero while there
	// is no latency baseline.
	overdueAfter time.Duration
	timer        *time.Timer
	// sending holds a sendState. The attempt and the request that withdraws it race to set
	// it.
	sending atomic.Uint32
	// wait holds a waitState. The end of the attempt and its timer race to set it.
	wait atomic.Uint32
}

// waitState is the state of an attempt's wait for its response.
type waitState = uint32

const (
	// waiting: neither the response nor the timer has come.
	waiting waitState = iota
	// inTime: the attempt ended before the timer fired.
	inTime
	// overdue: the timer fired first. The attempt continues.
	overdue
)

// sendState is whether the request has been written.
type sendState = uint32

const (
	// notSent: no byte was written.
	notSent sendState = iota
	// maySent: the request may have been written.
	maySent
	// withdrawn: the request will not be written.
	withdrawn
)

// isPending reports whether no byte of the request was written so far.
func (a *attempt) isPending() bool { return a.sending.Load() == notSent }

// withdraw prevents the attempt from sending the request. It returns false if the request may
// have been sent.
func (a *attempt) withdraw() bool { return a.sending.CompareAndSwap(notSent, withdrawn) }

// markOverdue marks the response as overdue. It returns false if the attempt has ended or
// is marked already.
func (a *attempt) markOverdue() bool { return a.wait.CompareAndSwap(waiting, overdue) }

func (a *attempt) isOverdue() bool { return a.wait.Load() == overdue }

// endWait ends the wait and reports whether the response was in time.
func (a *attempt) endWait() bool {
	if a.timer != nil {
		a.timer.Stop()
	}
	return a.wait.CompareAndSwap(waiting, inTime)
}

// do sends the request to the upstream within a span, and buffers the beginning of the
// response. On success the context is not canceled, because the body is read under it.
func (a *attempt) do(ctx context.Context) (_ *response, err error) {
	f := a.inflight
	ctx, span := f.startAttempt(ctx, a)
	defer func() { endSpan(span, err) }()
	resp, err := a.roundTrip(ctx, f.tracedRequest(ctx, span))
	defer func() { a.rollout.End(rolloutOutcome(resp, err), time.Now()) }()
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
	a.progress.OnSent = a.recordSent
	a.progress.MaySend = func() bool {
		return a.inflight.plan().Allows(u) && a.sending.CompareAndSwap(notSent, maySent) && a.inflight.proxy.Notices.MaySend(u, time.Now())
	}
	resp, err := a.inflight.proxy.Client.SendWatched(ctx, exchange.Target{Upstream: u.ID, Run: u.Run(), Address: u.Address}, r, &a.progress)
	a.recordReach(err)
	if err == nil {
		err = a.inflight.checkResponse(u, resp, a.began)
	}
	a.inflight.recordHealth(u.Run(), a.endWait(), resp, err, a.began)
	if a.progress.ConnectionClosed() {
		a.checkTermination(ctx)
	}
	if err != nil && isSuperseded(ctx) {
		return nil, superseded(u.ID, verdict.From(err).Verdict)
	}
	return resp, err
}

// recordReach reports to the monitor whether the upstream could be reached. err is the error
// of the exchange; nil if there was a response.
func (a *attempt) recordReach(err error) {
	monitor, u := a.inflight.proxy.Reach, a.choice.Upstream
	switch {
	case err == nil:
		monitor.RecordResponse(a.progress.UsedNewConnection())
	case isUnconnected(verdict.From(err).Reason):
		monitor.RecordUnconnected(u)
	case a.progress.ConnectionClosed():
		monitor.RecordUnanswered(u)
	}
}

// recordSent is called when the request has been written.
func (a *attempt) recordSent() {
	f, now := a.inflight, time.Now()
	f.proxy.Balancer.Sent(a.choice, now)
	a.rollout = f.proxy.Rollouts.Sent(f.service, f.route.Name, a.choice.Upstream, !a.choice.Cold, now)
	if a.number == 1 {
		a.rollout.CountKey(f.key())
	}
	if f.hasAffinity() {
		a.rollout.SetObject(f.info.Key)
	}
	if a.choice.Cold {
		a.logWarmUp()
	}
}

// checkResponse records the notice and the load report in an upstream's response. sent is
// when the attempt began. It returns nil if the response may be forwarded. Otherwise it
// closes the response and returns the error of the attempt.
func (f *inflight) checkResponse(u *upstream.Upstream, resp *exchange.Response, sent time.Time) error {
	f.proxy.Notices.Observe(u.Run(), resp.Info.Notice, sent, time.Now())
	if l := resp.Info.Load; l.Known {
		f.proxy.Balancer.ObserveLoad(u, l.Running, l.Waiting, time.Now())
	}
	e := classify(resp.Status, resp.Info, u.Capacity)
	if e == nil {
		return nil
	}
	e.Upstream = u.ID
	if !discardBody(resp) {
		e.Detail += ", and the response broke off"
	}
	return e
}

// discardBody closes a response after reading the rest of its body, so that the connection can be
// reused. It returns false if the body broke off or did not end in time. In that case the
// end of the attempt's context ends the read.
func discardBody(resp *exchange.Response) bool {
	complete := make(chan bool, 1)
	discard := func() {
		_, err := io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
		_ = resp.Body.Close() // the attempt has already failed
		complete <- err == nil || errors.Is(err, io.EOF)
	}
	if resp.Length == 0 { // there is nothing to wait for
		discard()
		return <-complete
	}
	go discard()
	timeout := time.NewTimer(maxDiscardTime)
	defer timeout.Stop()
	select {
	case ok := <-complete:
		return ok
	case <-timeout.C:
		return false
	}
}

// buffer reads the beginning of a response. If the response breaks off there, the attempt
// has failed. Otherwise forward or discard releases the response.
func (a *attempt) buffer(ctx context.Context, resp *exchange.Response) (*response, error) {
	f, u := a.inflight, a.choice.Upstream
	out, err := bufferPrefix(resp)
	if err != nil {
		e := truncated(ctx, u.ID, err)
		f.proxy.release(a.choice, outcomeOfTruncated(e.Reason))
		if isUpstreamFault(e.Reason) {
			f.proxy.Detector.RecordFailure(u.Run(), time.Now())
		}
		if exchange.IsConnectionClosed(err) && e.Reason == verdict.AnswerTruncated {
			a.checkTermination(ctx)
		}
		f.logAttempt(a, resp.Status, e)
		return nil, e
	}
	f.logAttempt(a, resp.Status, nil)
	out.choice = a.choice
	return out, nil
}

// discard drops a response that is not forwarded.
func (p *Proxy) discard(resp *response) {
	_ = resp.Body.Close() // the response is not used
	p.release(resp.choice, outlier.Canceled)
}

// release removes a request from the upstream's outstanding requests in the balancer, and
// records its outcome.
func (p *Proxy) release(c balance.Choice, o outlier.Outcome) {
	if c.Upstream == nil {
		return // the response came through another host
	}
	p.Balancer.Done(c)
	p.Detector.RecordOutcome(c.Upstream.Run(), o, time.Now())
}
