package proxy

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/verdict"
)

// startRequest begins the span of a request with an id. It continues the
// client's trace if the request carries one.
func (p *Proxy) startRequest(r *http.Request, id string) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return p.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", id)))
}

// startAttempt begins the span of an attempt.
func (f *inflight) startAttempt(ctx context.Context, a *attempt) (context.Context, trace.Span) {
	ctx, span := f.proxy.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	if span.SpanContext().IsSampled() {
		span.SetAttributes(
			attribute.String("upstream", a.choice.Upstream.ID), attribute.String("zone", a.choice.Upstream.Zone),
			attribute.Int("attempt", a.number), attribute.Float64("load", a.choice.Load),
		)
	}
	return ctx, span
}

// tracedRequest is the request of one attempt. The upstream receives the
// attempt's span only when the trace is sampled, in a header of its own, as two
// attempts may be sent at a time; otherwise the header is forwarded as it came.
func (f *inflight) tracedRequest(ctx context.Context, span trace.Span) *exchange.Request {
	if !span.SpanContext().IsSampled() {
		return f.request
	}
	r := *f.request
	r.Header = r.Header.Clone()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	return &r
}

// endSpan ends a span with the verdict on an error, if there is one.
func endSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		e := verdict.From(err)
		span.SetAttributes(attribute.String("verdict", e.Verdict.String()), attribute.String("reason", string(e.Reason)))
	}
	span.End()
}
