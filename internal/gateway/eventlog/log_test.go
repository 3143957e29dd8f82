package eventlog_test

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/telemetry"
)

// buffer is a writer that can be read while the log writes.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) lines(t *testing.T) []map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(b.b.String()) {
		var m map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &m))
		out = append(out, m)
	}
	return out
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func sampledID(t *testing.T) string {
	t.Helper()
	for i := range 10_000 {
		if id := strconv.Itoa(i); eventlog.DefaultSampling().Sampled(id) {
			return id
		}
	}
	t.Fatal("no id is sampled")
	return ""
}

func TestAFailedRequestIsLoggedWithItsDecision(t *testing.T) {
	var b buffer
	l := eventlog.New(&b, eventlog.Options{Host: "host-1", Level: zerolog.InfoLevel, Sampling: eventlog.DefaultSampling(), Metrics: telemetry.NewMetrics()})
	l.Attempt(eventlog.Attempt{Request: "r1", Route: "route", Service: "s", Upstream: "i-1", Number: 1, Config: 7, Load: 0.5, LoadAge: 20 * time.Millisecond, Outcome: "upstream-failed", Failed: true, Took: time.Second, Detail: "reset"})
	l.Final(eventlog.Final{Request: "r1", Config: 7, Status: 502, Verdict: "may-have-run", Reason: "upstream-failed", Failed: true})
	l.Close()
	lines := b.lines(t)
	require.Len(t, lines, 2)
	require.Equal(t, "host-1", lines[0]["host"])
	require.Equal(t, "r1", lines[0]["request"])
	require.EqualValues(t, 20, lines[0]["load_age_ms"])
	require.EqualValues(t, 1000, lines[0]["took_ms"])
	require.Equal(t, "may-have-run", lines[1]["verdict"])
}

func TestOnlySampledSuccessesAreLogged(t *testing.T) {
	var b buffer
	l := eventlog.New(&b, eventlog.Options{Host: "h", Level: zerolog.InfoLevel, Sampling: eventlog.DefaultSampling(), Metrics: telemetry.NewMetrics()})
	id := sampledID(t)
	l.Final(eventlog.Final{Request: id})
	l.Final(eventlog.Final{Request: id + "-unlikely-1"})
	l.Final(eventlog.Final{Request: id + "-unlikely-2"})
	l.Close()
	require.Equal(t, id, b.lines(t)[0]["request"])
	require.LessOrEqual(t, len(b.lines(t)), 2)
}

func TestAReaderThatStopsReadingDelaysNothing(t *testing.T) {
	s := blockedWriter{release: make(chan struct{})}
	m := telemetry.NewMetrics()
	l := eventlog.New(s, eventlog.Options{Host: "h", Level: zerolog.InfoLevel, Sampling: eventlog.DefaultSampling(), Metrics: m})
	start := time.Now()
	for i := range 20_000 {
		l.Final(eventlog.Final{Request: strconv.Itoa(i), Failed: true})
		l.Config(int64(i), 1)
	}
	l.Close()
	require.Less(t, time.Since(start), 2*time.Second)
	var text bytes.Buffer
	m.Write(&text)
	require.Contains(t, text.String(), "cairndock_log_lines_left_out_total")
	close(s.release)
}

func TestFailedRequestsDoNotDropStateChanges(t *testing.T) {
	var b buffer
	l := eventlog.New(&b, eventlog.Options{Host: "h", Level: zerolog.InfoLevel, Sampling: eventlog.DefaultSampling(), Metrics: telemetry.NewMetrics()})
	for i := range 5_000 {
		l.Final(eventlog.Final{Request: strconv.Itoa(i), Failed: true})
	}
	l.Lost("source", "store", nil)
	l.Close()
	lines := b.lines(t)
	require.Less(t, len(lines), 400)
	require.Equal(t, "lost", lines[len(lines)-1]["event"])
}

func TestMinLevelOmitsInfoWithoutCountingIt(t *testing.T) {
	for _, c := range []struct {
		level zerolog.Level
		lines int
	}{{zerolog.DebugLevel, 2}, {zerolog.InfoLevel, 2}, {zerolog.WarnLevel, 0}, {zerolog.ErrorLevel, 0}} {
		t.Run(c.level.String(), func(t *testing.T) {
			var b buffer
			m := telemetry.NewMetrics()
			l := eventlog.New(&b, eventlog.Options{Host: "h", Level: c.level, Sampling: eventlog.DefaultSampling(), Metrics: m})
			l.Final(eventlog.Final{Request: "r", Failed: true})
			l.Config(1, 1)
			l.Close()
			require.Len(t, b.lines(t), c.lines)
			var text bytes.Buffer
			m.Write(&text)
			require.NotContains(t, text.String(), "cairndock_log_lines_left_out_total")
		})
	}
}

func TestDroppedLinesAreReportedAsAWarning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b buffer
		l := eventlog.New(&b, eventlog.Options{Host: "h", Level: zerolog.InfoLevel, Sampling: eventlog.DefaultSampling(), Metrics: telemetry.NewMetrics()})
		const calls = 5_000
		for i := range calls {
			l.Final(eventlog.Final{Request: strconv.Itoa(i), Failed: true})
		}
		time.Sleep(6 * time.Second) // past the next report
		l.Close()
		lines := b.lines(t)
		last := lines[len(lines)-1]
		require.Equal(t, "warn", last["level"])
		require.Equal(t, "log-lines-left-out", last["event"])
		require.EqualValues(t, calls-(len(lines)-1), last["lines"])
	})
}
