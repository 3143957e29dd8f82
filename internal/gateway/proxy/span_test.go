package proxy_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"cairndock/internal/gateway/route"
	"cairndock/internal/telemetry"
)

const clientTrace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// sendTraced sends requests that belong to a client's trace until the second upstream receives
// one, and returns the trace context that this upstream received.
func sendTraced(t *testing.T, sampler sdktrace.Sampler, recorder *tracetest.SpanRecorder) string {
	t.Helper()
	telemetry.UseW3C()
	g := newTracedGateway(t, sdktrace.NewTracerProvider(sdktrace.WithSampler(sampler), sdktrace.WithSpanProcessor(recorder)))
	g.setRoutes(testRoute(route.Repeatable))
	var received string
	g.addUpstream(shedding)
	g.addUpstream(func(c net.Conn, r *http.Request) {
		received = r.Header.Get("Traceparent")
		healthy(c, r)
	})
	for received == "" { // until the second upstream receives a request
		_, _, err := g.send(t.Context(), http.MethodGet, "/x/1", "", map[string]string{headerID: "id-1", "Traceparent": clientTrace})
		require.NoError(t, err)
	}
	return received
}

func TestEachHopIsASpanOfTheClientsTrace(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	received := sendTraced(t, sdktrace.AlwaysSample(), recorder)
	spans := recorder.Ended()
	require.GreaterOrEqual(t, len(spans), 2)
	request, attempt := spans[len(spans)-1], spans[len(spans)-2]
	require.Equal(t, "request", request.Name())
	require.Equal(t, "attempt", attempt.Name())
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", request.SpanContext().TraceID().String())
	require.Equal(t, request.SpanContext().SpanID(), attempt.Parent().SpanID())
	require.Contains(t, received, attempt.SpanContext().SpanID().String())
}

func TestAnUnsampledTraceLeavesTheHeaderUnchanged(t *testing.T) {
	require.Equal(t, clientTrace, sendTraced(t, sdktrace.NeverSample(), tracetest.NewSpanRecorder()))
}
