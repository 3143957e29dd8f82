// Package logline parses the lines of a gateway's log that internal/gateway/eventlog
// writes. internal/gateway/reqtrace and internal/gateway/losses use it. The package
// declares the names of the fields that are read, and has no state.
package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/verdict"
)

// maxLineBytes is the maximum length of a line; a longer line is an error. It is far
// above the length of any line of the log.
const maxLineBytes = 1 << 20

// Line is one line of a host's log. It has the fields of all events that are read;
// package eventlog documents them. Durations are in milliseconds.
type Line struct {
	Host    string    `json:"host"`
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	Request string    `json:"request"`

	// Fields of attempts. Upstream and Zone are also fields of state changes.
	Attempt   int     `json:"attempt"`
	Upstream  string  `json:"upstream"`
	Zone      string  `json:"zone"`
	Load      float64 `json:"load"`
	LoadAgeMS float64 `json:"load_age_ms"`
	Rank      int     `json:"rank"`
	Cold      bool    `json:"cold"`
	Capacity  int     `json:"capacity"`
	Key       string  `json:"key"`
	Outcome   string  `json:"outcome"`
	Withheld  string  `json:"withheld"`

	// Fields of attempts and final responses.
	Route   string  `json:"route"`
	Service string  `json:"service"`
	Account string  `json:"account"`
	Config  int64   `json:"config"`
	Status  int     `json:"status"`
	TookMS  float64 `json:"took_ms"`
	Detail  string  `json:"detail"`

	// Fields of final responses.
	Attempts       int            `json:"attempts"`
	Verdict        string         `json:"verdict"`
	Reason         verdict.Reason `json:"reason"`
	ConfigAgeMS    float64        `json:"config_age_ms"`
	UpstreamsAgeMS float64        `json:"upstreams_age_ms"`
	HostZone       string         `json:"host_zone"`
	Priority       int            `json:"priority"`
	ObjectiveMS    float64        `json:"objective_ms"`
	Client         string         `json:"client"`
	RetryDenied    string         `json:"retry_denied"`

	// Fields of lost dependencies.
	Dependency string `json:"dependency"`
	Name       string `json:"name"`
	Error      string `json:"error"`

	// Fields of upstreams' states.
	State string `json:"state"`

	// Fields of ejections.
	Failures  int     `json:"bad"`
	Successes int     `json:"good"`
	Hosts     int     `json:"hosts"`
	ForMS     float64 `json:"for_ms"`
}

// Read calls handle with each line of the logs, in their order. It skips text that is
// not a line of a log. It returns an error if the logs cannot be read or a line is
// longer than maxLineBytes.
func Read(logs io.Reader, handle func(Line)) error {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			handle(l)
		}
	}
	return eris.Wrap(scanner.Err(), "read logs")
}

// parse decodes a line. It skips text before the first brace, such as the prefix that a
// container runtime adds. It returns false for text that is not a line of the log, which
// other programs may write to the same files.
func parse(text []byte) (Line, bool) {
	var l Line
	brace := bytes.IndexByte(text, '{')
	if brace < 0 || json.Unmarshal(text[brace:], &l) != nil {
		return Line{}, false
	}
	return l, true
}
