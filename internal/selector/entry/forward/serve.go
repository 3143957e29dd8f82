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

// Serve admits a peer's request or refuses it as not run.
func (f *Forwarder) Serve(ctx context.Context, from peer.Hello, msg Message, w *peer.Responder) {
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier(msg.Trace))
	ctx, span := f.Tracer.Start(ctx, "admit", trace.WithAttributes(attribute.String("from", from.Host)))
	defer span.End()
	resp, err := f.admit(ctx, msg)
	f.Respond(ctx, from, msg.Service, resp, err, w)
}

// admit takes a slot for a peer's request, here or, when this host is full
// and another of the zone is not, there.
func (f *Forwarder) admit(ctx context.Context, msg Message) (*call.Response, error) {
	req := msg.Request()
	if _, ok := f.View().Service(msg.Service); !ok {
		return nil, verdict.New(verdict.NotRun, verdict.NoUpstream, "service is not known in %s yet", f.Zone)
	}
	until := time.Now().Add(time.Duration(msg.WaitMillis) * time.Millisecond)
	lease, err := f.Admitter.Acquire(ctx, msg.Service, msg.Rule, time.Time{})
	if err != nil && mayPass(verdict.From(err).Reason) && !msg.Passed && f.ZoneMayHelp(msg.Service) {
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

// mayPass reports whether another host of the zone may take a request that this one
// refused for a reason.
func mayPass(r verdict.Reason) bool { return r == verdict.Full || r == verdict.Stopping }

// Respond sends a response, or the verdict err, to the peer that sent the
// request, at the pace of the link to it.
func (f *Forwarder) Respond(ctx context.Context, from peer.Hello, service string, resp *call.Response, err error, w *peer.Responder) {
	free := f.Services.Get(service).Free()
	if err != nil {
		e := verdict.From(err)
		// Where it can't be sent the connection is lost, and the peer knows.
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
		// The peer has no reply when its deadline ends: may have run.
		return
	}
	if err := f.copyBody(ctx, from, service, resp.Body, w); err != nil {
		_ = w.Fail() // the connection may be what failed
		return
	}
	_ = w.End() // as above
}

// chunks are the buffers of bodies on their way.
var chunks = sync.Pool{New: func() any { return new([link.MaxChunk]byte) }}

// copyBody sends a body in chunks, each at the pace of the link.
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
