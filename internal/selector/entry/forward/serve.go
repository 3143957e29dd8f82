package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/peer"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/link"
	"cairndock/internal/verdict"
)

// Serve admits a request from a peer, or refuses it with the verdict NotRun.
func (f *Forwarder) Serve(ctx context.Context, from peer.Hello, msg Message, w *peer.Responder) {
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier(msg.Trace))
	ctx, span := f.Tracer.Start(ctx, "admit", trace.WithAttributes(attribute.String("from", from.Host)))
	defer span.End()
	resp, err := f.admit(ctx, msg)
	f.Respond(ctx, from, msg.Service, resp, err, w)
}

// admit acquires a slot for a request from a peer and sends the request. When this
// host is full or stopping and another host of the zone has a free slot, admit
// forwards the request to that host.
func (f *Forwarder) admit(ctx context.Context, msg Message) (*call.Response, error) {
	req := msg.Request()
	if _, ok := f.View().Service(msg.Service); !ok {
		return nil, verdict.New(verdict.NotRun, verdict.NoUpstream, "service is not known in %s yet", f.Zone)
	}
	until := time.Now().Add(time.Duration(msg.WaitMillis) * time.Millisecond)
	lease, err := f.Admitter.Acquire(ctx, msg.Service, msg.Rule, time.Time{})
	if err != nil && mayForwardAgain(verdict.From(err).Reason) && !msg.Passed && f.ZoneMayHelp(msg.Service) {
		resp, err := f.Forward(ctx, req, f.Zone, msg.Rule, time.Time{})
		if err == nil || verdict.From(err).Verdict != verdict.NotRun {
			return resp, err
		}
	}
	if err != nil && msg.WaitMillis > 0 && verdict.From(err).Reason == verdict.Full {
		lease, err = f.Admitter.Acquire(ctx, msg.Service, msg.Rule, until)
	}
	if err != nil {
		return nil, err
	}
	return f.Admitter.Send(ctx, req, lease)
}

// mayForwardAgain reports whether another host of the zone may admit a request that
// this host refused for the given reason.
func mayForwardAgain(r verdict.Reason) bool { return r == verdict.Full || r == verdict.Stopping }

// Respond sends a response, or the verdict err, to the peer that sent the request.
// The rate is limited by the link to the peer's region.
func (f *Forwarder) Respond(ctx context.Context, from peer.Hello, service string, resp *call.Response, err error, w *peer.Responder) {
	free := f.Services.Get(service).Free()
	if err != nil {
		e := verdict.From(err)
		// A failed send means that the connection is lost, which the peer
		// detects itself.
		_ = w.Send(reply{
			Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, Upstream: e.Upstream,
			RetryMillis: e.RetryAfter.Milliseconds(), Free: free,
		})
		return
	}
	defer resp.Body.Close()
	head, err := peer.Encode(reply{
		Status: resp.Status, Header: resp.Header, Length: resp.Length, Upstream: resp.Upstream, Verdict: resp.Verdict, Free: free,
	})
	if err != nil || f.Links.Wait(ctx, service, from.Zone, len(head)) != nil || w.Reply(head) != nil {
		// The peer gets no reply before its deadline, and its verdict is that
		// the request may have run.
		return
	}
	if err := f.copyBody(ctx, from, service, resp.Body, w); err != nil {
		_ = w.Fail() // the connection itself may have failed
		return
	}
	_ = w.End() // the peer detects a lost connection itself
}

// chunks is a pool of buffers for copying response bodies.
var chunks = sync.Pool{New: func() any { return new([link.MaxChunk]byte) }}

// copyBody sends a body in chunks. Each chunk waits for the rate limit of the link.
func (f *Forwarder) copyBody(ctx context.Context, from peer.Hello, service string, body io.Reader, w *peer.Responder) error {
	pooled := chunks.Get().(*[link.MaxChunk]byte)
	defer chunks.Put(pooled)
	buf := pooled[:f.Links.Chunk(from.Zone)]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := f.Links.Wait(ctx, service, from.Zone, n); err != nil {
				return err
			}
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
