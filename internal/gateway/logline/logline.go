// Package logline reads the lines of a gateway's log back. internal/gateway/eventlog
// writes them; internal/gateway/reqtrace and internal/gateway/losses rely on it.
// It owns the names of the fields as they are read, and no state.
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

// maxLine is the longest line that is read, in bytes; a longer one is an
// error: far above any line of the log.
const maxLine = 1 << 20

// Line is one line of a host's log, with the fields of every event that is read;
// eventlog says what they mean. Durations are in milliseconds.
type Line struct {
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
	Capacity  int     `json:"capacity"`
	Key       string  `json:"key"`
	Outcome   string  `json:"outcome"`
	Withheld  string  `json:"withheld"`

	// Of attempts and final responses.
	Route   string  `json:"route"`
	Service string  `json:"service"`
	Account string  `json:"account"`
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
	HostZone       string         `json:"host_zone"`
	Priority       int            `json:"priority"`
	ObjectiveMS    float64        `json:"objective_ms"`
	Client         string         `json:"client"`
	RetryDenied    string         `json:"retry_denied"`

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

// Read gives each line of logs to a function, in the order in which they stand.
// Text that is no line of a log is passed over. Its error is that of the reader.
func Read(logs io.Reader, each func(Line)) error {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			each(l)
		}
	}
	return eris.Wrap(scanner.Err(), "read logs")
}

// parse decodes a line; what stands before the first brace, such as a
// container's prefix, is passed over. It gives false for text that is no line
// of the log, which other programs write to the same files.
func parse(text []byte) (Line, bool) {
	var l Line
	brace := bytes.IndexByte(text, '{')
	if brace < 0 || json.Unmarshal(text[brace:], &l) != nil {
		return Line{}, false
	}
	return l, true
}
