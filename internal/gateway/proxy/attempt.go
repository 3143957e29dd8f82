package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/verdict"
)

// maxRefusal bounds what is read of a response that is not forwarded, in bytes:
// reading it whole keeps the connection, a longer one is cheaper to close.
// Chosen, not measured.
const maxRefusal = 16 << 10

// attempt sends the request to one upstream, in a span of its own, and buffers
// the beginning of the response.
func (f *inflight) attempt(ctx context.Context, c balance.Choice) (_ *response, err error) {
	ctx, span := f.startAttempt(ctx, c)
	defer func() { endSpan(span, err) }()
	began := time.Now()
	f.tried = append(f.tried, c.Upstream.ID)
	// On success the context lives on, as the body is read under it; it ends
	// with the request's own.
	ctx, cancel := context.WithCancel(ctx)
	resp, err := f.roundTrip(ctx, cancel, c, began)
	if err != nil {
		cancel()
		e := verdict.From(err)
		f.proxy.release(c.Upstream.ID, outcomeOf(e.Reason))
		f.logAttempt(c, began, 0, e)
		return nil, err
	}
	return f.buffer(ctx, c, began, resp)
}

// roundTrip sends the request and waits for a response that may be forwarded.
// It is canceled when the response is overdue and another upstream is tried.
func (f *inflight) roundTrip(ctx context.Context, cancel context.CancelFunc, c balance.Choice, began time.Time) (*exchange.Response, error) {
	u := c.Upstream
	timer := f.startOverdueTimer(c, cancel)
	resp, err := f.proxy.Client.Send(ctx, u.ID, u.Address, f.request)
	if err == nil {
		err = f.accept(u.ID, resp)
	}
	state := timer.settle()
	f.recordHealth(u.ID, state, resp, err, began)
	if state != replaced {
		return resp, err
	}
	if err == nil {
		// It arrived at the moment it was canceled, and is not used.
		_ = resp.Body.Close()
	}
	f.retryGranted = true
	return nil, verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, "the response is overdue, another upstream is tried").WithUpstream(u.ID)
}

// accept returns nil if a response may be forwarded; otherwise it closes it and
// returns the attempt's error.
func (f *inflight) accept(upstream string, resp *exchange.Response) error {
	if l := resp.Info.Load; l.Known {
		f.proxy.Balancer.ObserveLoad(upstream, l.Running, l.Waiting, time.Now())
	}
	e := classify(resp.Status, resp.Info)
	if e == nil {
		return nil
	}
	e.Upstream = upstream
	// Read whole, the connection can be used again.
	if _, err := io.CopyN(io.Discard, resp.Body, maxRefusal); err != nil && !errors.Is(err, io.EOF) {
		e.Detail += ", and the response broke off"
	}
	_ = resp.Body.Close() // the attempt has failed already
	return e
}

// buffer reads the beginning of a response. One that breaks off there is a
// failed attempt; any other is released by forward.
func (f *inflight) buffer(ctx context.Context, c balance.Choice, began time.Time, resp *exchange.Response) (*response, error) {
	id := c.Upstream.ID
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, prefixBytes))
	if err != nil {
		_ = resp.Body.Close() // the attempt has failed already
		f.proxy.release(id, outlier.Failed)
		e := truncated(id, err, ctx.Err() != nil)
		if isUpstreamFault(e.Reason) {
			f.proxy.Detector.RecordFailure(id, time.Now())
		}
		f.logAttempt(c, began, resp.Status, e)
		return nil, e
	}
	f.logAttempt(c, began, resp.Status, nil)
	out := &response{Response: resp, upstream: id, prefix: prefix}
	if out.whole() {
		out.Length = int64(len(prefix))
	}
	return out, nil
}

// release ends a request that the balancer counts as outstanding at an
// upstream, and records how it ended.
func (p *Proxy) release(upstream string, o outlier.Outcome) {
	p.Balancer.Done(upstream)
	p.Detector.RecordOutcome(upstream, o, time.Now())
}
