package losses

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

const (
	objectiveMS    = 250.0
	usualLatencyMS = 100.0
	slots          = 2
)

// logBuilder builds a log. Its times are in milliseconds.
type logBuilder struct{ h history }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms float64) time.Time { return start.Add(time.Duration(ms * float64(time.Millisecond))) }

// attempt adds an attempt with the time at which it began and its duration.
func (b *logBuilder) attempt(request, key string, began, duration float64, changes ...func(*logline.Line)) {
	l := logline.Line{
		Event: eventlog.EventAttempt, Request: request, Service: "s", Upstream: "i-1", Key: key,
		Capacity: slots, Outcome: eventlog.OutcomeAnswered, Time: at(began + duration), TookMS: duration,
	}
	for _, change := range changes {
		change(&l)
	}
	b.h.add(l)
}

// final adds the final log line of a request.
func (b *logBuilder) final(request string, ended, duration float64, changes ...func(*logline.Line)) {
	l := logline.Line{
		Event: eventlog.EventFinal, Request: request, Service: "s", Route: "r", Priority: 2, ObjectiveMS: objectiveMS,
		Status: 200, Verdict: "ran", Time: at(ended), TookMS: duration,
	}
	for _, change := range changes {
		change(&l)
	}
	b.h.add(l)
}

// known adds earlier attempts with a key, so that the key is known at the upstream and the
// service has a usual latency.
func (b *logBuilder) known(key string) {
	for i := range 5 {
		b.attempt("known", key, -10_000+1_000*float64(i), usualLatencyMS)
	}
}

func withOutcome(o verdict.Reason) func(*logline.Line) {
	return func(l *logline.Line) { l.Outcome = string(o) }
}

func withReason(v verdict.Verdict, r verdict.Reason) func(*logline.Line) {
	return func(l *logline.Line) { l.Verdict, l.Reason = v.String(), r }
}

func TestEachLateOrMissingResponseHasOneCause(t *testing.T) {
	for _, c := range []struct {
		name string
		log  func(b *logBuilder)
		want Cause
	}{
		{"in time", func(b *logBuilder) { b.attempt("q", "k", 0, 200); b.final("q", 200, 200) }, None},
		{"first request for an object", func(b *logBuilder) { b.attempt("q", "new", 0, 300); b.final("q", 300, 300) }, FirstRequest},
		{"warming up", func(b *logBuilder) {
			b.attempt("q", "new", 0, 300, func(l *logline.Line) { l.Cold = true })
			b.final("q", 300, 300)
		}, WarmingUp},
		{"waited behind first requests", func(b *logBuilder) {
			b.attempt("a", "new-1", 0, 300)
			b.attempt("b", "new-2", 0, 300)
			b.attempt("q", "k", 10, 390)
			b.final("q", 400, 390)
		}, BehindFirst},
		{"waited behind others", func(b *logBuilder) {
			b.attempt("a", "k", 0, 300)
			b.attempt("b", "k", 0, 300)
			b.attempt("q", "k", 10, 390)
			b.final("q", 400, 390)
		}, Waiting},
		{"slow upstream", func(b *logBuilder) { b.attempt("q", "k", 0, 300); b.final("q", 300, 300) }, Slow},
		{"little longer than usual", func(b *logBuilder) { b.attempt("q", "k", 100, 150); b.final("q", 260, 260) }, Other},
		{"repeated", func(b *logBuilder) {
			b.attempt("q", "k", 0, 200, withOutcome(verdict.Unreachable))
			b.attempt("q", "k", 200, 100, func(l *logline.Line) { l.Upstream = "i-2" })
			b.final("q", 300, 300)
		}, Repeated + Cause(verdict.Unreachable)},
		{"refused", func(b *logBuilder) { b.final("q", 1, 1, withReason(verdict.NotRun, verdict.Full)) }, refused + "full"},
		{"failed", func(b *logBuilder) { b.final("q", 900, 900, withReason(verdict.MayHaveRun, verdict.DeadlineLapsed)) }, failed + "deadline-lapsed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b logBuilder
			b.known("k")
			c.log(&b)
			b.h.prepare()
			r := b.h.report(Options{LateFraction: 0.2, Weights: []float64{3, 2, 1}})
			require.Equal(t, 1, r.Total.Requests)
			if c.want == None {
				require.Empty(t, r.Lost)
				return
			}
			lost := 1.0
			if isLate(c.want) {
				lost = 0.8
			}
			require.Equal(t, map[Cause]Sum{c.want: {Requests: 1, Weight: lost}}, r.Lost)
		})
	}
}

func TestTheRoundTripTimeIsPartOfTheObjective(t *testing.T) {
	var b logBuilder
	b.known("k")
	b.attempt("q", "k", 0, 240)
	b.final("q", 240, 240)
	b.h.prepare()
	require.Empty(t, b.h.report(Options{}).Lost)
	require.Len(t, b.h.report(Options{RTT: 20 * time.Millisecond}).Lost, 1)
}

func TestDisconnectedClientsAndUnknownRoutesAreNotCounted(t *testing.T) {
	var b logBuilder
	b.final("left", 900, 900, func(l *logline.Line) { l.Client = string(eventlog.ClientLeft) })
	b.final("no-route", 1, 1, withReason(verdict.NotRun, verdict.UnknownRoute))
	b.h.prepare()
	require.Zero(t, b.h.report(Options{}).Total.Requests)
}

func TestWeightsDependOnThePriority(t *testing.T) {
	o := Options{Weights: []float64{3, 2}}
	for priority, want := range map[int]float64{-1: 3, 0: 3, 1: 2, 2: 2, 9: 2} {
		require.Equal(t, want, o.weight(priority), priority)
	}
	require.Equal(t, 1.0, Options{}.weight(0))
}

// Read must understand the log as package eventlog writes it, and the printed tables must
// contain the cause, the route, the zone and the second.
func TestReadAndPrintALogOfAHost(t *testing.T) {
	var logs, out bytes.Buffer
	log := eventlog.New(&logs, eventlog.Options{
		Host: "h", Zone: "z-a", Level: zerolog.InfoLevel, Metrics: telemetry.NewMetrics(),
		Sampling: eventlog.Sampling{OneIn: 1, ServedPerSecond: 1000, FailedPerSecond: 1000},
	})
	log.Attempt(eventlog.Attempt{Request: "q", Service: "s", Upstream: "i-1", Key: "k", Capacity: 2, Outcome: eventlog.OutcomeAnswered, Took: 300 * time.Millisecond})
	log.Final(eventlog.Final{Request: "q", Route: "r", Service: "s", Objective: 250 * time.Millisecond, Status: 200, Verdict: "ran", Took: 300 * time.Millisecond})
	log.Close()
	r, err := Read(&logs, Options{LateFraction: 0.2})
	require.NoError(t, err)
	require.InDelta(t, 0.8, r.LostWeight(), 1e-9)
	require.NoError(t, r.Print(&out))
	for _, want := range []string{"late: first request", "r      1", "z-a", "0       1"} {
		require.Contains(t, out.String(), want)
	}
}

func TestLogsWithoutRequestsGiveAnEmptyReport(t *testing.T) {
	r, err := Read(strings.NewReader("nothing\n"), Options{})
	require.NoError(t, err)
	require.Zero(t, r.Total)
	require.Zero(t, r.LostWeight())
}
