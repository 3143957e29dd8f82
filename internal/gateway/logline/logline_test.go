package logline

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// Each field must be read under the name under which eventlog writes it.
func TestLinesAreParsedAsWritten(t *testing.T) {
	var b bytes.Buffer
	log := eventlog.New(&b, eventlog.Options{Host: "h", Zone: "hz", Level: zerolog.InfoLevel, Sampling: eventlog.DefaultSampling(), Metrics: telemetry.NewMetrics()})
	log.Attempt(eventlog.Attempt{
		Request: "r", Route: "a", Service: "s", Upstream: "i-1", Zone: "z", Number: 2, Config: 7, Load: 0.5, LoadAge: 3 * time.Millisecond,
		Key: "k", Capacity: 5, Rank: 1, Cold: true, Outcome: "upstream-failed", Status: 500, Failed: true, Took: 4 * time.Millisecond, Detail: "reset",
	})
	log.Final(eventlog.Final{
		Request: "r", Route: "a", Service: "s", Priority: 1, Objective: 400 * time.Millisecond, Client: eventlog.ClientLeft, Attempts: 2, Config: 7, ConfigAge: 5 * time.Millisecond, UpstreamsAge: 6 * time.Millisecond,
		Status: 502, Verdict: "may-have-run", Reason: "upstream-failed", Failed: true, Took: 8 * time.Millisecond, Detail: "broken",
	})
	log.Lost("upstream source", "store", os.ErrDeadlineExceeded)
	log.Upstream("i-1", upstream.Registration{Service: "s", Zone: "z"}, "draining", 9)
	log.Ejected(outlier.Ejection{Upstream: "i-1", Failures: 4, Successes: 3, Hosts: 2, Period: 2 * time.Second})
	log.Close()

	want := []Line{
		{
			Event: eventlog.EventAttempt, Request: "r", Route: "a", Service: "s", Upstream: "i-1", Zone: "z", Attempt: 2, Config: 7, Load: 0.5, LoadAgeMS: 3,
			Key: "k", Capacity: 5, Rank: 1, Cold: true, Outcome: "upstream-failed", Status: 500, TookMS: 4, Detail: "reset",
		},
		{
			Event: eventlog.EventFinal, Request: "r", Route: "a", Service: "s", Priority: 1, ObjectiveMS: 400, Client: "left", HostZone: "hz", Attempts: 2, Config: 7, ConfigAgeMS: 5, UpstreamsAgeMS: 6,
			Status: 502, Verdict: "may-have-run", Reason: verdict.UpstreamFailed, TookMS: 8, Detail: "broken",
		},
		{Event: eventlog.EventLost, Dependency: "upstream source", Name: "store", Error: os.ErrDeadlineExceeded.Error()},
		{Event: eventlog.EventUpstream, Upstream: "i-1", Service: "s", Zone: "z", State: "draining"},
		{Event: eventlog.EventEjected, Upstream: "i-1", Failures: 4, Successes: 3, Hosts: 2, ForMS: 2000},
	}
	var got []Line
	require.NoError(t, Read(&b, func(l Line) {
		require.Equal(t, "h", l.Host)
		require.False(t, l.Time.IsZero())
		l.Host, l.Time = "", time.Time{}
		got = append(got, l)
	}))
	require.Equal(t, want, got)
}

func TestTextThatIsNotALogLineIsSkipped(t *testing.T) {
	var got []Line
	require.NoError(t, Read(strings.NewReader("not json\n12.5 {\"request\":\"r\"}\n{broken\n"), func(l Line) { got = append(got, l) }))
	require.Equal(t, []Line{{Request: "r"}}, got)
}
