package proxy

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/verdict"
)

// startRequest begins the span of a request. It continues the caller's trace,
// if the request carries one.
func (g *Proxy) startRequest(r *http.Request, c RequestInfo) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return g.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", c.ID)))
}

// startAttempt begins the span of an attempt. The upstream is told of it only
// when the trace is kept: else the request's header goes on as it came.
func (d *inflight) startAttempt(ctx context.Context, c balance.Choice) (context.Context, trace.Span) {
	ctx, span := d.proxy.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	if span.SpanContext().IsSampled() {
		span.SetAttributes(
			attribute.String("upstream", c.Upstream.ID), attribute.String("zone", c.Upstream.Zone),
			attribute.Int("attempt", len(d.tried)+1), attribute.Float64("load", c.Load),
		)
		otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(d.request.Header))
	}
	return ctx, span
}

// endSpan ends a span with what became of its hop.
func endSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		e := verdict.From(err)
		span.SetAttributes(attribute.String("verdict", e.Verdict.String()), attribute.String("reason", string(e.Reason)))
	}
	span.End()
}
