package reqtrace

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// Each log in testdata is of one request with an id like its name.
func TestTracesOfFailures(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	g := goldie.New(t)
	for _, path := range logs {
		name := strings.TrimSuffix(filepath.Base(path), ".log")
		t.Run(name, func(t *testing.T) {
			f, err := os.Open(path)
			require.NoError(t, err)
			defer func() { _ = f.Close() }()
			tr, err := Follow(f, name)
			require.NoError(t, err)
			g.Assert(t, name, []byte(tr.String()))
		})
	}
}

func TestARequestWithoutLinesIsAnError(t *testing.T) {
	_, err := Follow(strings.NewReader("not json\n{\"request\":\"other\"}\n"), "r")
	require.ErrorContains(t, err, "no line of request")
}

func TestAMissingFinalLineIsSaid(t *testing.T) {
	tr, err := Follow(strings.NewReader(`{"event":"attempt","request":"r","attempt":1}`), "r")
	require.NoError(t, err)
	require.Contains(t, tr.Cause(), "missing")
}

// Every field that is read must have the name with which it is written.
func TestLinesAreReadAsTheyAreWritten(t *testing.T) {
	var b bytes.Buffer
	log := eventlog.New(&b, "h", zerolog.InfoLevel, telemetry.NewMetrics())
	log.Attempt(eventlog.Attempt{
		Request: "r", Service: "s", Upstream: "i-1", Zone: "z", Number: 2, Config: 7, Load: 0.5, LoadAge: 3 * time.Millisecond,
		Rank: 1, Cold: true, Outcome: "upstream-failed", Status: 500, Failed: true, Took: 4 * time.Millisecond, Detail: "reset",
	})
	log.Final(eventlog.Final{
		Request: "r", Service: "s", Attempts: 2, Config: 7, ConfigAge: 5 * time.Millisecond, UpstreamsAge: 6 * time.Millisecond,
		Status: 502, Verdict: "may-have-run", Reason: "upstream-failed", Failed: true, Took: 8 * time.Millisecond, Detail: "broken",
	})
	log.Lost("upstream source", "store", os.ErrDeadlineExceeded)
	log.Upstream("i-1", upstream.Registration{Service: "s", Zone: "z"}, "draining", 9)
	log.Ejected(outlier.Ejection{Upstream: "i-1", Failures: 4, Successes: 3, Hosts: 2, For: 2 * time.Second})
	log.Close()

	want := []line{
		{
			Event: eventlog.EventAttempt, Request: "r", Service: "s", Upstream: "i-1", Zone: "z", Attempt: 2, Config: 7, Load: 0.5, LoadAgeMS: 3,
			Rank: 1, Cold: true, Outcome: "upstream-failed", Status: 500, TookMS: 4, Detail: "reset",
		},
		{
			Event: eventlog.EventFinal, Request: "r", Service: "s", Attempts: 2, Config: 7, ConfigAgeMS: 5, UpstreamsAgeMS: 6,
			Status: 502, Verdict: "may-have-run", Reason: verdict.UpstreamFailed, TookMS: 8, Detail: "broken",
		},
		{Event: eventlog.EventLost, Dependency: "upstream source", Name: "store", Error: os.ErrDeadlineExceeded.Error()},
		{Event: eventlog.EventUpstream, Upstream: "i-1", Service: "s", Zone: "z", State: "draining"},
		{Event: eventlog.EventEjected, Upstream: "i-1", Failures: 4, Successes: 3, Hosts: 2, ForMS: 2000},
	}
	var got []line
	for text := range strings.Lines(b.String()) {
		l, ok := parse([]byte(text))
		require.True(t, ok, text)
		require.Equal(t, "h", l.Host)
		require.False(t, l.Time.IsZero())
		l.Host, l.Time = "", time.Time{}
		got = append(got, l)
	}
	require.Equal(t, want, got)
}

func TestTheCauseNamesTheAttemptThatDecided(t *testing.T) {
	attempt := func(n int, upstream, outcome string) line {
		return line{Event: eventlog.EventAttempt, Attempt: n, Upstream: upstream, Outcome: outcome, Detail: "of the attempt"}
	}
	final := func(reason verdict.Reason) line {
		return line{Event: eventlog.EventFinal, Reason: reason, Service: "s", Config: 7, Attempts: 2, Detail: "of the response"}
	}
	for _, c := range []struct {
		name  string
		lines []line
		want  string
	}{
		{"served", []line{attempt(1, "i-1", eventlog.OutcomeAnswered), {Event: eventlog.EventFinal, Attempts: 1}}, "served"},
		{"served by the second attempt", []line{attempt(1, "i-1", "unreachable"), attempt(2, "i-2", eventlog.OutcomeAnswered), final("")}, "served after 2 attempts (attempt 1: unreachable)"},
		{"served, without a line of an attempt", []line{{Event: eventlog.EventFinal, Attempts: 2}}, "served after 2 attempts"},
		{"the last attempt with the reason", []line{attempt(1, "i-1", "upstream-failed"), attempt(2, "i-2", "upstream-failed"), final(verdict.UpstreamFailed)}, "upstream i-2 failed: of the response"},
		{"an earlier attempt with the reason", []line{attempt(1, "i-1", "deadline-lapsed"), attempt(2, "i-2", "upstream-shed"), final(verdict.DeadlineLapsed)}, "deadline exceeded waiting for upstream i-1 (no response received)"},
		{"a response that broke off after it was accepted", []line{attempt(1, "i-1", "unreachable"), attempt(2, "i-2", eventlog.OutcomeAnswered), final(verdict.AnswerTruncated)}, "the response of upstream i-2 broke off: of the response"},
		{"an attempt's line is missing", []line{final(verdict.Unreachable)}, "could not connect to upstream (its attempt is not in the logs): it is gone, cut off or overloaded"},
		{"no upstream", []line{final(verdict.NoUpstream)}, "no eligible upstream of s: all are draining, evacuated or outside the allowed regions"},
		{"no route", []line{final(verdict.UnknownRoute)}, "no route matches the request in configuration 7"},
		{"a reason without a text of its own", []line{final(verdict.BodyTooLarge)}, "body-too-large: of the response"},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Trace{lines: c.lines}.Cause()) })
	}
}

func TestEveryCauseIsFilledIn(t *testing.T) {
	for reason := range causes {
		cause := Trace{lines: []line{{Event: eventlog.EventFinal, Reason: reason}}}.Cause()
		require.NotContains(t, cause, "{", reason)
	}
}
