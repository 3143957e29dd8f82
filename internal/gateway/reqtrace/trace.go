// Package trail reads structured logs and follows one request through them,
// over all hosts, to the cause of its failure.
package reqtrace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a structured log.
type Line struct {
	Host      string    `json:"host"`
	Event     string    `json:"event"`
	Time      time.Time `json:"time"`
	Request   string    `json:"request"`
	Route     string    `json:"route"`
	Service   string    `json:"service"`
	Upstream  string    `json:"upstream"`
	Zone      string    `json:"zone"`
	Attempt   int       `json:"attempt"`
	Attempts  int       `json:"attempts"`
	Config    int64     `json:"config"`
	Load      float64   `json:"load"`
	LoadAge   float64   `json:"load_age_ms"`
	Rank      int       `json:"rank"`
	Cold      bool      `json:"cold"`
	Outcome   string    `json:"outcome"`
	Status    int       `json:"status"`
	Verdict   string    `json:"verdict"`
	Reason    string    `json:"reason"`
	Took      float64   `json:"took_ms"`
	ConfigAge float64   `json:"config_age_ms"`
	StateAge  float64   `json:"upstreams_age_ms"`
	Detail    string    `json:"detail"`
	// Dependency, Name and Error are those of a dependency that was lost.
	Dependency string `json:"dependency"`
	Name       string `json:"name"`
	Error      string `json:"error"`
	State      string `json:"state"`
	// Bad, Good, Hosts and For are those of an upstream that is avoided.
	Bad   int     `json:"bad"`
	Good  int     `json:"good"`
	Hosts int     `json:"hosts"`
	For   float64 `json:"for_ms"`
}

// Trail is what logs tell of one request.
type Trace struct {
	// Lines are the request's own, in the order of time.
	Lines []Line
	// Around are what the same hosts came to believe shortly before: lost
	// dependencies, and the states and ejections of the upstreams it was
	// sent to.
	StateChanges []Line
}

// before is how long before a request's end a change of belief may have
// decided it.
const lookBack = 15 * time.Second

// Follow reads logs and gives the trail of a request. Lines that are no JSON
// are passed over; what stands before the first brace, such as a container's
// prefix, too.
func Follow(logs io.Reader, request string) (Trace, error) {
	var t Trace
	var beliefs []Line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case line.Request == request:
			t.Lines = append(t.Lines, line)
		case line.Event == "lost" || line.Event == "upstream" || line.Event == "ejected":
			beliefs = append(beliefs, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return t, eris.Wrap(err, "read logs")
	}
	if len(t.Lines) == 0 {
		return t, eris.Errorf("no line of request %q: it was not sampled, was left out, or never came", request)
	}
	slices.SortStableFunc(t.Lines, byTime)
	t.StateChanges = t.relevant(beliefs)
	return t, nil
}

func byTime(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(order(a), order(b)))
}

// order puts a request's final answer behind its attempts of the same second.
func order(l Line) int {
	if l.Event == "final" {
		return 1 << 20
	}
	return l.Attempt
}

func parse(text []byte) (Line, bool) {
	var l Line
	i := bytes.IndexByte(text, '{')
	if i < 0 || json.Unmarshal(text[i:], &l) != nil {
		return l, false
	}
	return l, true
}

// around keeps the beliefs that may have decided the request.
func (t Trace) relevant(beliefs []Line) []Line {
	hosts, upstreams := map[string]bool{}, map[string]bool{}
	end := t.Lines[len(t.Lines)-1].Time
	for _, l := range t.Lines {
		hosts[l.Host] = true
		upstreams[l.Upstream] = true
	}
	var out []Line
	for _, l := range beliefs {
		if !hosts[l.Host] || l.Time.After(end) || end.Sub(l.Time) > lookBack {
			continue
		}
		if l.Event == "lost" || upstreams[l.Upstream] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// String tells the trail, a line for each step, and the cause in words.
func (t Trace) String() string {
	var b strings.Builder
	for _, l := range t.StateChanges {
		fmt.Fprintf(&b, "%s %s before: %s\n", l.Time.Format(time.TimeOnly), l.Host, stateChange(l))
	}
	for _, l := range t.Lines {
		fmt.Fprintf(&b, "%s %s %s\n", l.Time.Format(time.TimeOnly), l.Host, step(l))
	}
	fmt.Fprintf(&b, "cause: %s\n", t.Cause())
	return b.String()
}

func stateChange(l Line) string {
	switch l.Event {
	case "lost":
		return fmt.Sprintf("lost %s %s: %s", l.Dependency, l.Name, l.Error)
	case "ejected":
		return fmt.Sprintf("avoids upstream %s for %.0f ms: %d ends bad and %d good, bad ones seen by %d hosts", l.Upstream, l.For, l.Bad, l.Good, l.Hosts)
	}
	return fmt.Sprintf("upstream %s is %s", l.Upstream, l.State)
}

func step(l Line) string {
	if l.Event == "attempt" {
		return fmt.Sprintf("attempt %d to %s in %s (choice %d of its key, load %.2f as told %.0f ms before, cold %t, configuration %d): %s after %.0f ms %s",
			l.Attempt, l.Upstream, l.Zone, l.Rank+1, l.Load, max(0, l.LoadAge), l.Cold, l.Config, l.Outcome, l.Took, l.Detail)
	}
	return fmt.Sprintf("final answer %d after %.0f ms and %d attempts, %s %s (configuration %d confirmed %.0f ms before, upstreams %.0f ms) %s",
		l.Status, l.Took, l.Attempts, l.Verdict, l.Reason, l.Config, l.ConfigAge, l.StateAge, l.Detail)
}
