package reqtrace

import (
	"bytes"
	"cmp"
	"encoding/json"
	"math"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/verdict"
)

// line is one line of a host's log, with the fields of every event that is read
// here; eventlog says what they mean. Durations are in milliseconds.
type line struct {
	Host    string    `json:"host"`
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	Request string    `json:"request"`

	// Of attempts and, Upstream and Zone, of state changes too.
	Attempt   int     `json:"attempt"`
	Upstream  string  `json:"upstream"`
	Zone      string  `json:"zone"`
	Load      float64 `json:"load"`
	LoadAgeMS float64 `json:"load_age_ms"`
	Rank      int     `json:"rank"`
	Cold      bool    `json:"cold"`
	Outcome   string  `json:"outcome"`

	// Of attempts and final responses.
	Service string  `json:"service"`
	Config  int64   `json:"config"`
	Status  int     `json:"status"`
	TookMS  float64 `json:"took_ms"`
	Detail  string  `json:"detail"`

	// Of final responses.
	Attempts       int            `json:"attempts"`
	Verdict        string         `json:"verdict"`
	Reason         verdict.Reason `json:"reason"`
	ConfigAgeMS    float64        `json:"config_age_ms"`
	UpstreamsAgeMS float64        `json:"upstreams_age_ms"`

	// Of lost dependencies.
	Dependency string `json:"dependency"`
	Name       string `json:"name"`
	Error      string `json:"error"`

	// Of upstreams' states.
	State string `json:"state"`

	// Of ejections.
	Failures  int     `json:"bad"`
	Successes int     `json:"good"`
	Hosts     int     `json:"hosts"`
	ForMS     float64 `json:"for_ms"`
}

// parse decodes a line; what stands before the first brace, such as a
// container's prefix, is passed over. It gives false for text that is no line
// of the log, which other programs write to the same files.
func parse(text []byte) (line, bool) {
	var l line
	brace := bytes.IndexByte(text, '{')
	if brace < 0 || json.Unmarshal(text[brace:], &l) != nil {
		return line{}, false
	}
	return l, true
}

// byTime orders lines by time; of the same time, attempts by their number and
// the final response last.
func byTime(a, b line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.step(), b.step()))
}

// step is the line's place among those of its request on one host.
func (l line) step() int {
	if l.Event == eventlog.EventFinal {
		return math.MaxInt
	}
	return l.Attempt
}
