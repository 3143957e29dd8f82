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

// startRequest starts the span of the request with the given ID. It continues the
// client's trace if the request carries one.
func (p *Proxy) startRequest(r *http.Request, id string) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return p.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", id)))
}

// startAttempt starts the span of an attempt.
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

// tracedRequest returns the request to send in an attempt. If the trace is sampled, the
// upstream receives the span of the attempt. Its headers are a copy then, because two
// attempts may be in progress at the same time. Otherwise the headers are forwarded
// unchanged.
func (f *inflight) tracedRequest(ctx context.Context, span trace.Span) *exchange.Request {
	if !span.SpanContext().IsSampled() {
		return f.request
	}
	r := *f.request
	r.Header = r.Header.Clone()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	return &r
}

// endSpan ends a span. If err is not nil, the span gets its verdict and reason.
func endSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		e := verdict.From(err)
		span.SetAttributes(attribute.String("verdict", e.Verdict.String()), attribute.String("reason", string(e.Reason)))
	}
	span.End()
}
