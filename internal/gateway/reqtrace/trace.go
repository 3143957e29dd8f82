// Package reqtrace traces one request through the logs of all hosts and determines the
// cause of its final response. Its only input are the lines that
// internal/gateway/eventlog writes, in any order. `cairndock trace` prints its result.
// docs/OPERATIONS.md shows three examples of failures.
package reqtrace

import (
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
)

// lookback is the time before a request's end within which a state change may have
// affected its result.
const lookback = 15 * time.Second

// Trace has the log lines about one request.
type Trace struct {
	// lines are the lines of the request itself, ordered by time; there is at least one.
	lines []logline.Line
	// stateChanges are the state changes that the request's hosts logged within
	// lookback before its end: lost dependencies, and states and ejections of the
	// upstreams to which the request was sent.
	stateChanges []logline.Line
}

// Follow reads logs and returns the trace of a request. It returns an error if the logs
// have no line of the request or cannot be read.
func Follow(logs io.Reader, requestID string) (Trace, error) {
	var t Trace
	var changes []logline.Line
	err := logline.Read(logs, func(l logline.Line) {
		switch {
		case l.Request == requestID:
			t.lines = append(t.lines, l)
		case l.Event == eventlog.EventLost, l.Event == eventlog.EventUpstream, l.Event == eventlog.EventEjected:
			changes = append(changes, l)
		}
	})
	if err != nil {
		return t, err
	}
	if len(t.lines) == 0 {
		return t, eris.Errorf("no line of request %q: it was not sampled, its lines were dropped, or it never arrived", requestID)
	}
	slices.SortStableFunc(t.lines, byTime)
	t.stateChanges = t.relevant(changes)
	return t, nil
}

// relevant returns the state changes that may have affected the request's result.
func (t Trace) relevant(changes []logline.Line) []logline.Line {
	hosts, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range t.lines {
		hosts[l.Host] = true
		upstreams[l.Upstream] = true
	}
	end := t.lines[len(t.lines)-1].Time
	var out []logline.Line
	for _, l := range changes {
		if !hosts[l.Host] || l.Time.After(end) || end.Sub(l.Time) > lookback {
			continue
		}
		if l.Event == eventlog.EventLost || upstreams[l.Upstream] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}
