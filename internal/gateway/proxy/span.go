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

// startRequest begins the span of a request with an id. It continues the
// client's trace if the request carries one.
func (p *Proxy) startRequest(r *http.Request, id string) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return p.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", id)))
}

// startAttempt begins the span of an attempt. The upstream receives its context
// only when the trace is sampled; otherwise the request's header is forwarded
// as it came.
func (f *inflight) startAttempt(ctx context.Context, c balance.Choice) (context.Context, trace.Span) {
	ctx, span := f.proxy.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	if span.SpanContext().IsSampled() {
		span.SetAttributes(
			attribute.String("upstream", c.Upstream.ID), attribute.String("zone", c.Upstream.Zone),
			attribute.Int("attempt", len(f.tried)+1), attribute.Float64("load", c.Load),
		)
		otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(f.request.Header))
	}
	return ctx, span
}

// endSpan ends a span with the verdict on an error, if there is one.
func endSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		e := verdict.From(err)
		span.SetAttributes(attribute.String("verdict", e.Verdict.String()), attribute.String("reason", string(e.Reason)))
	}
	span.End()
}
