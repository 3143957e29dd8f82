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
	objective = 250.0
	usual     = 100.0
	slots     = 2
)

// play is a log in the making; its clock is in milliseconds.
type play struct{ h history }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms float64) time.Time { return start.Add(time.Duration(ms * float64(time.Millisecond))) }

// attempt adds an attempt that began at a time and took another.
func (p *play) attempt(request, key string, began, took float64, change ...func(*logline.Line)) {
	l := logline.Line{
		Event: eventlog.EventAttempt, Request: request, Service: "s", Upstream: "i-1", Key: key,
		Capacity: slots, Outcome: eventlog.OutcomeAnswered, Time: at(began + took), TookMS: took,
	}
	for _, c := range change {
		c(&l)
	}
	p.h.add(l)
}

// final adds a request's final response.
func (p *play) final(request string, ended, took float64, change ...func(*logline.Line)) {
	l := logline.Line{
		Event: eventlog.EventFinal, Request: request, Service: "s", Route: "r", Priority: 2, ObjectiveMS: objective,
		Status: 200, Verdict: "ran", Time: at(ended), TookMS: took,
	}
	for _, c := range change {
		c(&l)
	}
	p.h.add(l)
}

// known makes the upstream know a key, and the service's usual time known.
func (p *play) known(key string) {
	for i := range 5 {
		p.attempt("known", key, -10_000+1_000*float64(i), usual)
	}
}

func outcome(o verdict.Reason) func(*logline.Line) {
	return func(l *logline.Line) { l.Outcome = string(o) }
}

func reason(v verdict.Verdict, r verdict.Reason) func(*logline.Line) {
	return func(l *logline.Line) { l.Verdict, l.Reason = v.String(), r }
}

func TestEachLateOrMissingResponseHasOneCause(t *testing.T) {
	for _, c := range []struct {
		name string
		log  func(p *play)
		want Cause
	}{
		{"in time", func(p *play) { p.attempt("q", "k", 0, 200); p.final("q", 200, 200) }, None},
		{"first request for an object", func(p *play) { p.attempt("q", "new", 0, 300); p.final("q", 300, 300) }, FirstRequest},
		{"warming up", func(p *play) {
			p.attempt("q", "new", 0, 300, func(l *logline.Line) { l.Cold = true })
			p.final("q", 300, 300)
		}, WarmingUp},
		{"waited behind first requests", func(p *play) {
			p.attempt("a", "new-1", 0, 300)
			p.attempt("b", "new-2", 0, 300)
			p.attempt("q", "k", 10, 390)
			p.final("q", 400, 390)
		}, BehindFirst},
		{"waited behind others", func(p *play) {
			p.attempt("a", "k", 0, 300)
			p.attempt("b", "k", 0, 300)
			p.attempt("q", "k", 10, 390)
			p.final("q", 400, 390)
		}, Waiting},
		{"slow upstream", func(p *play) { p.attempt("q", "k", 0, 300); p.final("q", 300, 300) }, Slow},
		{"little longer than usual", func(p *play) { p.attempt("q", "k", 100, 150); p.final("q", 260, 260) }, Other},
		{"repeated", func(p *play) {
			p.attempt("q", "k", 0, 200, outcome(verdict.Unreachable))
			p.attempt("q", "k", 200, 100, func(l *logline.Line) { l.Upstream = "i-2" })
			p.final("q", 300, 300)
		}, Repeated + Cause(verdict.Unreachable)},
		{"refused", func(p *play) { p.final("q", 1, 1, reason(verdict.NotRun, verdict.Full)) }, refused + "full"},
		{"failed", func(p *play) { p.final("q", 900, 900, reason(verdict.MayHaveRun, verdict.DeadlineLapsed)) }, failed + "deadline-lapsed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p play
			p.known("k")
			c.log(&p)
			p.h.prepare()
			r := p.h.report(Options{LateShare: 0.2, Weights: []float64{3, 2, 1}})
			require.Equal(t, 1, r.Owed.Requests)
			if c.want == None {
				require.Empty(t, r.Lost)
				return
			}
			lost := 1.0
			if isLate(c.want) {
				lost = 0.8
			}
			require.Equal(t, map[Cause]Sum{c.want: {Requests: 1, Worth: lost}}, r.Lost)
		})
	}
}

func TestTheWayToTheClientIsPartOfTheObjective(t *testing.T) {
	var p play
	p.known("k")
	p.attempt("q", "k", 0, 240)
	p.final("q", 240, 240)
	p.h.prepare()
	require.Empty(t, p.h.report(Options{}).Lost)
	require.Len(t, p.h.report(Options{Way: 20 * time.Millisecond}).Lost, 1)
}

func TestNothingIsOwedToAClientThatLeftOrWithoutARoute(t *testing.T) {
	var p play
	p.final("left", 900, 900, func(l *logline.Line) { l.Client = string(eventlog.ClientLeft) })
	p.final("no-route", 1, 1, reason(verdict.NotRun, verdict.UnknownRoute))
	p.h.prepare()
	require.Zero(t, p.h.report(Options{}).Owed.Requests)
}

func TestWeightsFollowThePriority(t *testing.T) {
	o := Options{Weights: []float64{3, 2}}
	for priority, want := range map[int]float64{-1: 3, 0: 3, 1: 2, 2: 2, 9: 2} {
		require.Equal(t, want, o.weight(priority), priority)
	}
	require.Equal(t, 1.0, Options{}.weight(0))
}

// The report is read from what a host really writes, and its tables name the
// cause, the route, the zone and the second.
func TestALogIsSummedUp(t *testing.T) {
	var logs, out bytes.Buffer
	log := eventlog.New(&logs, eventlog.Options{
		Host: "h", Zone: "z-a", Level: zerolog.InfoLevel, Metrics: telemetry.NewMetrics(),
		Sampling: eventlog.Sampling{OneIn: 1, ServedPerSecond: 1000, FailedPerSecond: 1000},
	})
	log.Attempt(eventlog.Attempt{Request: "q", Service: "s", Upstream: "i-1", Key: "k", Capacity: 2, Outcome: eventlog.OutcomeAnswered, Took: 300 * time.Millisecond})
	log.Final(eventlog.Final{Request: "q", Route: "r", Service: "s", Objective: 250 * time.Millisecond, Status: 200, Verdict: "ran", Took: 300 * time.Millisecond})
	log.Close()
	r, err := Read(&logs, Options{LateShare: 0.2})
	require.NoError(t, err)
	require.InDelta(t, 0.8, r.LostWorth(), 1e-9)
	require.NoError(t, r.Print(&out))
	for _, want := range []string{"late: first request", "r      1", "z-a", "0       1"} {
		require.Contains(t, out.String(), want)
	}
}

func TestLogsWithoutRequestsGiveAnEmptyReport(t *testing.T) {
	r, err := Read(strings.NewReader("nothing\n"), Options{})
	require.NoError(t, err)
	require.Zero(t, r.Owed)
	require.Zero(t, r.LostWorth())
}
