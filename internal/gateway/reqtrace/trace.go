// Package reqtrace follows one request through the logs of all hosts and states
// the cause of its end. It reads the lines that internal/gateway/eventlog writes,
// in any order, and needs nothing else; `cairndock trace` prints its result.
// docs/OPERATIONS.md shows it on three failures.
package reqtrace

import (
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
)

// lookBack is how long before a request's end a state change may have decided
// it.
const lookBack = 15 * time.Second

// Trace is what the logs say about one request.
type Trace struct {
	// lines are the request's own, in order of time; there is at least one.
	lines []logline.Line
	// stateChanges are what the request's hosts logged in the lookBack before
	// its end: lost dependencies, and states and ejections of the upstreams
	// that it was sent to.
	stateChanges []logline.Line
}

// Follow reads logs and gives the trace of a request. It is an error if they
// have no line of it, or can't be read.
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
		return t, eris.Errorf("no line of request %q: it was not sampled, was left out, or never arrived", requestID)
	}
	slices.SortStableFunc(t.lines, byTime)
	t.stateChanges = t.relevant(changes)
	return t, nil
}

// relevant keeps the state changes that may have decided the request.
func (t Trace) relevant(changes []logline.Line) []logline.Line {
	hosts, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range t.lines {
		hosts[l.Host] = true
		upstreams[l.Upstream] = true
	}
	end := t.lines[len(t.lines)-1].Time
	var out []logline.Line
	for _, l := range changes {
		if !hosts[l.Host] || l.Time.After(end) || end.Sub(l.Time) > lookBack {
			continue
		}
		if l.Event == eventlog.EventLost || upstreams[l.Upstream] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}
