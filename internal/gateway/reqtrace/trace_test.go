package reqtrace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
	"cairndock/internal/verdict"
)

// Each log in testdata has the lines of one request, whose id is the name of the file.
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

func TestCauseReportsAMissingFinalLine(t *testing.T) {
	tr, err := Follow(strings.NewReader(`{"event":"attempt","request":"r","attempt":1}`), "r")
	require.NoError(t, err)
	require.Contains(t, tr.Cause(), "missing")
}

func TestCauseNamesTheDecidingAttempt(t *testing.T) {
	attempt := func(n int, upstream, outcome string) logline.Line {
		return logline.Line{Event: eventlog.EventAttempt, Attempt: n, Upstream: upstream, Outcome: outcome, Detail: "of the attempt"}
	}
	final := func(reason verdict.Reason) logline.Line {
		return logline.Line{Event: eventlog.EventFinal, Reason: reason, Service: "s", Config: 7, Attempts: 2, Detail: "of the response"}
	}
	for _, c := range []struct {
		name  string
		lines []logline.Line
		want  string
	}{
		{"served", []logline.Line{attempt(1, "i-1", eventlog.OutcomeAnswered), {Event: eventlog.EventFinal, Attempts: 1}}, "served"},
		{"served by the second attempt", []logline.Line{attempt(1, "i-1", "unreachable"), attempt(2, "i-2", eventlog.OutcomeAnswered), final("")}, "served after 2 attempts (attempt 1: unreachable)"},
		{"served, without a line of an attempt", []logline.Line{{Event: eventlog.EventFinal, Attempts: 2}}, "served after 2 attempts"},
		{"the last attempt with the reason", []logline.Line{attempt(1, "i-1", "upstream-failed"), attempt(2, "i-2", "upstream-failed"), final(verdict.UpstreamFailed)}, "upstream i-2 failed: of the response"},
		{"an earlier attempt with the reason", []logline.Line{attempt(1, "i-1", "deadline-lapsed"), attempt(2, "i-2", "upstream-shed"), final(verdict.DeadlineLapsed)}, "deadline exceeded waiting for upstream i-1 (no response received)"},
		{"a response that broke off after it was accepted", []logline.Line{attempt(1, "i-1", "unreachable"), attempt(2, "i-2", eventlog.OutcomeAnswered), final(verdict.AnswerTruncated)}, "the response of upstream i-2 broke off: of the response"},
		{"an attempt's line is missing", []logline.Line{final(verdict.Unreachable)}, "could not connect to upstream (its attempt is not in the logs): it is gone, cut off or overloaded"},
		{"no upstream", []logline.Line{final(verdict.NoUpstream)}, "no eligible upstream of s: all are draining, evacuated or outside the allowed regions"},
		{"no route", []logline.Line{final(verdict.UnknownRoute)}, "no route matches the request in configuration 7"},
		{"no retry left", []logline.Line{attempt(1, "i-1", "upstream-failed"), {Event: eventlog.EventFinal, Reason: verdict.UpstreamFailed, Detail: "reset", RetryDenied: "0 of 0.30 retries used"}}, "upstream i-1 failed: reset; the retry budget allowed no other attempt: 0 of 0.30 retries used"},
		{"a reason without a text of its own", []logline.Line{final(verdict.BodyTooLarge)}, "body-too-large: of the response"},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Trace{lines: c.lines}.Cause()) })
	}
}

func TestCausesHaveNoUnknownPlaceholders(t *testing.T) {
	for reason := range causes {
		cause := Trace{lines: []logline.Line{{Event: eventlog.EventFinal, Reason: reason}}}.Cause()
		require.NotContains(t, cause, "{", reason)
	}
}
