// Package telemetry sets up the logs, metrics and traces of a process from its
// settings. Package eventlog writes the log of requests and state changes of
// the gateway.
package telemetry

import (
	"cmp"
	"context"
	"io"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/settings"
)

// Destinations of traces. They are the values of the setting telemetry.traces.
const (
	// tracesNone writes no traces.
	tracesNone = "none"
	// tracesStdout writes traces to the standard output as JSON.
	tracesStdout = "stdout"
	// tracesOTLP sends traces to the OTLP endpoint of the settings.
	tracesOTLP = "otlp"
)

// Default sets the defaults of the section.
func Default(s *settings.Telemetry) {
	s.LogLevel = cmp.Or(s.LogLevel, "info")
	s.Traces = cmp.Or(s.Traces, tracesNone)
	s.TraceShare = cmp.Or(s.TraceShare, 0.01)
}

// Check adds the errors of the section to f.
func Check(s settings.Telemetry, f *settings.Faults) {
	_, err := zerolog.ParseLevel(s.LogLevel)
	f.Require(err == nil, "telemetry.log_level", "must be debug, info, warn or error")
	f.Require(slices.Contains([]string{tracesNone, tracesStdout, tracesOTLP}, s.Traces),
		"telemetry.traces", "must be none, stdout or otlp")
	f.Require(s.Traces != tracesOTLP || s.OTLPEndpoint != "", "telemetry.otlp_endpoint", "must be set for otlp")
	f.Require(s.TraceShare >= 0 && s.TraceShare <= 1, "telemetry.trace_share", "must be from 0 to 1")
}

// Level returns the minimum level that is logged, or info for a name that Check
// rejects.
func Level(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// NewLogger returns a logger that writes JSON lines.
func NewLogger(w io.Writer, level string) zerolog.Logger {
	return zerolog.New(w).Level(Level(level)).With().Timestamp().Logger()
}

// NewProvider returns a trace provider. The caller must call its Shutdown.
func NewProvider(ctx context.Context, s settings.Telemetry, out io.Writer) (*sdktrace.TracerProvider, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch s.Traces {
	case tracesStdout:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case tracesOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.OTLPEndpoint))
	default:
		return sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "open trace output")
	}
	sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceShare))
	return sdktrace.NewTracerProvider(sdktrace.WithSampler(sampler), sdktrace.WithBatcher(exporter)), nil
}

// UseW3C propagates traces between processes by W3C Trace Context.
func UseW3C() { otel.SetTextMapPropagator(propagation.TraceContext{}) }

// Tracer returns the tracer for cairndock's own spans.
func Tracer(p trace.TracerProvider) trace.Tracer { return p.Tracer("cairndock") }

// Metrics is the set of metrics of a host.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Count increments a counter. The name may include labels.
func (m *Metrics) Count(name string) { m.set.GetOrCreateCounter(name).Inc() }

// Add adds n to a counter.
func (m *Metrics) Add(name string, n int) { m.set.GetOrCreateCounter(name).Add(n) }

// Observe adds a value in seconds to a histogram.
func (m *Metrics) Observe(name string, seconds float64) {
	m.set.GetOrCreateHistogram(name).Update(seconds)
}

// Gauge registers a gauge that calls f whenever the metrics are written.
func (m *Metrics) Gauge(name string, f func() float64) { m.set.GetOrCreateGauge(name, f) }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
