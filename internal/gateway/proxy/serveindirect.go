package proxy

import (
	"context"
	"io"
	"net/url"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/indirect"
	"cairndock/internal/peer"
	"cairndock/internal/verdict"
)

// ServeIndirect serves a request that another host sends because it reaches no upstream. A
// refusal proves that the request did not run. The context ends when the other host cancels
// the request or is lost.
func (p *Proxy) ServeIndirect(ctx context.Context, from string, payload []byte, w *peer.Responder) {
	began := time.Now()
	p.arrivals.add(began)
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	p.Metrics.Count("cairndock_indirect_received_total")
	msg, err := indirect.DecodeRequest(payload)
	if err != nil {
		e := verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
		refuseIndirect(w, e, false)
		p.Log.Indirect(indirectEvent("", eventlog.ReceivedFrom, from, 0, e, began))
		return
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier(msg.Trace))
	ctx, span := p.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", msg.ID), attribute.String("from", from)))
	p.Notices.Merge(msg.Notices, time.Now())
	status, err := p.newIndirect(ctx, msg, timeLeft(msg, w, began)).serveIndirect(msg, w)
	endSpan(span, err)
	p.Log.Indirect(indirectEvent(msg.ID, eventlog.ReceivedFrom, from, status, verdict.From(err), began))
}

// serveIndirect sends the request to an upstream and replies. It returns the status of the
// response, or the error.
func (f *inflight) serveIndirect(msg indirect.Request, w *peer.Responder) (status int, err error) {
	if err := f.prepareIndirect(msg); err != nil {
		refuseIndirect(w, err, f.counted)
		return 0, err
	}
	defer f.body.Release()
	ctx, cancel := f.context()
	defer cancel()
	resp, err := f.run(ctx)
	if err != nil {
		refuseIndirect(w, err, f.counted)
		return 0, err
	}
	return resp.Status, f.forwardIndirect(w, resp)
}

// timeLeft returns the time until the other host gives the request up. The message may have
// been delayed, so that the time left in it starts too late.
func timeLeft(msg indirect.Request, w *peer.Responder, now time.Time) time.Duration {
	left := msg.Left()
	if deadline, ok := w.Deadline(); ok {
		left = min(left, deadline.Sub(now))
	}
	return left
}

// newIndirect returns the request of a message with the time left for it.
func (p *Proxy) newIndirect(ctx context.Context, msg indirect.Request, left time.Duration) *inflight {
	f := &inflight{
		proxy: p, info: RequestInfo{ID: msg.ID, Key: msg.Key, Timeout: left},
		began: time.Now(), suspendedAtStart: p.SuspendWatch.Total(), clientCtx: ctx, address: msg.Client,
		indirect: true, counted: msg.Counted, countedAttempts: msg.Attempts,
		request: &exchange.Request{ID: msg.ID, Method: msg.Method, Target: msg.Target, Host: msg.Host, Header: msg.Header, Body: [][]byte{msg.Body}},
	}
	f.digestOnce.Do(func() { f.digest = msg.Fingerprint })
	return f
}

// checkIndirect returns an error if this host takes no requests of other hosts, or not this
// one.
func (f *inflight) checkIndirect(msg indirect.Request) error {
	p := f.proxy
	switch {
	case !p.canServe() || p.State.Config().Version < msg.Config:
		return verdict.New(verdict.NotRun, verdict.NotReady, "the configuration is older than version %d", msg.Config)
	case p.leaving.Load():
		return verdict.New(verdict.NotRun, verdict.Stopping, "the host is stopping")
	case p.Reach.Isolated():
		return errIsolated()
	case p.Capacity > 0 && p.Rate(time.Now()) > p.Capacity:
		return verdict.New(verdict.NotRun, verdict.Full, "the host gets more than %d requests per second", p.Capacity)
	case f.info.Timeout <= 0:
		return verdict.New(verdict.NotRun, verdict.DeadlineLapsed, "no time left")
	}
	return nil
}

// prepareIndirect finds the route and the account of a request. The other host has checked its
// key, its size and the limit of its account.
func (f *inflight) prepareIndirect(msg indirect.Request) error {
	if err := f.checkIndirect(msg); err != nil {
		return err
	}
	target, err := url.ParseRequestURI(msg.Target)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	if err := f.matchRoute(msg.Host, target.Path); err != nil {
		return err
	}
	if err := f.setAccount(msg.Account); err != nil {
		return err
	}
	f.body, err = f.proxy.Bodies.Hold(msg.Body)
	if err != nil {
		return errBodiesFull()
	}
	return nil
}

// setAccount finds the account of a request of another host by its name.
func (f *inflight) setAccount(name string) error {
	if f.config.Accounts == nil {
		return nil
	}
	var ok bool
	f.account, ok = f.config.Accounts.ByName(name)
	if !ok && !f.route.Public {
		return errUnknownKey()
	}
	return f.checkKeyAge()
}

// refuseIndirect sends an error to the other host. A write error means that the connection is
// lost, which the other host notices as well.
func refuseIndirect(w *peer.Responder, err error, counted bool) {
	_ = w.Send(indirect.NewErrorReply(verdict.From(err), counted))
}

// forwardIndirect sends a response to the other host and releases the upstream. If the
// response breaks off, the other host gets no complete body.
func (f *inflight) forwardIndirect(w *peer.Responder, resp *response) error {
	err := f.sendResponse(w, resp)
	if err != nil {
		_ = w.Fail() // the connection may be lost, which the other host notices
	}
	f.endForward(resp, err)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "%v", err)
	}
	f.recordResponse(resp.Status)
	return nil
}

// sendResponse sends the header and the body of a response.
func (f *inflight) sendResponse(w *peer.Responder, resp *response) error {
	head, err := peer.Encode(indirect.Reply{Status: resp.Status, Header: resp.Header, Length: resp.Length, Upstream: resp.choice.Upstream.ID, Run: resp.choice.Upstream.Run(), Counted: f.counted})
	if err != nil {
		return err
	}
	if err := w.Reply(head); err != nil {
		return err
	}
	if err := resp.copyBody(w); err != nil {
		return err
	}
	return w.End()
}

// copyBody writes the body in chunks that fit into the flow-control window of the peer.
func (r *response) copyBody(w io.Writer) error {
	for prefix := r.prefix; len(prefix) > 0; {
		n := min(copyBufferBytes, len(prefix))
		if _, err := w.Write(prefix[:n]); err != nil {
			return err
		}
		prefix = prefix[n:]
	}
	return r.copyRest(w)
}
