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

const callersTrace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// traced sends a request of a caller's trace and gives what the last upstream
// was told of it.
func traced(t *testing.T, sampler sdktrace.Sampler, recorder *tracetest.SpanRecorder) string {
	t.Helper()
	telemetry.UseW3C()
	w := newTracedWorld(t, sdktrace.NewTracerProvider(sdktrace.WithSampler(sampler), sdktrace.WithSpanProcessor(recorder)))
	w.routes(usual(route.Repeatable))
	var told string
	w.upstream(shed)
	w.upstream(func(c net.Conn, r *http.Request) {
		told = r.Header.Get("Traceparent")
		sound(c, r)
	})
	for told == "" { // until one goes to the second upstream
		r, err := http.NewRequest(http.MethodGet, w.server.URL+"/x/1", nil)
		require.NoError(t, err)
		r.Host = "a.example"
		r.Header.Set(headerID, "id-1")
		r.Header.Set("Traceparent", callersTrace)
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	return told
}

func TestEachHopIsASpanOfTheCallersTrace(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	told := traced(t, sdktrace.AlwaysSample(), recorder)
	spans := recorder.Ended()
	require.GreaterOrEqual(t, len(spans), 2)
	request, attempt := spans[len(spans)-1], spans[len(spans)-2]
	require.Equal(t, "request", request.Name())
	require.Equal(t, "attempt", attempt.Name())
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", request.SpanContext().TraceID().String())
	require.Equal(t, request.SpanContext().SpanID(), attempt.Parent().SpanID())
	require.Contains(t, told, attempt.SpanContext().SpanID().String())
}

func TestATraceThatIsNotKeptChangesNoHeader(t *testing.T) {
	require.Equal(t, callersTrace, traced(t, sdktrace.NeverSample(), tracetest.NewSpanRecorder()))
}
