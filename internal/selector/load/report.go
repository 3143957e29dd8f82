package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Result is the outcome of one class.
type Result struct {
	Class    string         `json:"class"`
	Offered  int            `json:"offered"`
	Verdicts map[string]int `json:"verdicts"`
	Zones    map[string]int `json:"zones"`
	Bytes    int64          `json:"bytes"`
	// P50 to Max are latencies of upstreams' responses, in microseconds since
	// the request was due.
	P50  int64 `json:"p50_us"`
	P99  int64 `json:"p99_us"`
	P999 int64 `json:"p999_us"`
	Max  int64 `json:"max_us"`
	// RefusedP50 and RefusedP99 are the same percentiles of all other outcomes.
	RefusedP50 int64 `json:"refused_p50_us"`
	RefusedP99 int64 `json:"refused_p99_us"`
}

// Report is the outcome of a load. It can be encoded as JSON.
type Report struct {
	Seconds float64  `json:"seconds"`
	Results []Result `json:"results"`
	// Skipped counts arrivals that were not sent because maxOutstanding requests
	// were outstanding.
	Skipped int `json:"skipped"`
	// Wrong counts responses that belong to another request, and responses to a
	// resent request that differ from the first response.
	Wrong int `json:"wrong_answers"`
	// RanTwice counts tickets whose request ran more than once.
	RanTwice int `json:"ran_twice"`
	// RanDespiteNotRun counts tickets whose request ran although its last
	// verdict was not-run.
	RanDespiteNotRun int `json:"told_not_run_but_ran"`
	// Over counts requests that started while all slots of their upstream were
	// in use.
	Over int `json:"beyond_slots"`
	// Changes is the outcome of the configuration changes sent during the load.
	// It is nil if there were none.
	Changes *ChangeResult `json:"changes,omitempty"`
}

// HasViolations reports whether any violation was found.
func (r Report) HasViolations() bool { return r.Wrong+r.RanTwice+r.RanDespiteNotRun+r.Over > 0 }

// Print writes the report as a table.
func (r Report) Print(w io.Writer) {
	for _, c := range r.Results {
		fmt.Fprintf(w, "%s: offered %d (%.0f/s), %.1f MB/s\n", c.Class, c.Offered, float64(c.Offered)/r.Seconds, float64(c.Bytes)/1e6/r.Seconds)
		for _, name := range slices.Sorted(maps.Keys(c.Verdicts)) {
			fmt.Fprintf(w, "  %-18s %d (%.2f%%)\n", name, c.Verdicts[name], 100*float64(c.Verdicts[name])/float64(max(1, c.Offered)))
		}
		for _, name := range slices.Sorted(maps.Keys(c.Zones)) {
			fmt.Fprintf(w, "  zone %-13s %.1f%%\n", name, 100*float64(c.Zones[name])/float64(max(1, c.Offered)))
		}
		fmt.Fprintf(w, "  p50 %s  p99 %s  p99.9 %s  max %s  refused p50 %s  p99 %s\n",
			micros(c.P50), micros(c.P99), micros(c.P999), micros(c.Max), micros(c.RefusedP50), micros(c.RefusedP99))
	}
	if c := r.Changes; c != nil {
		fmt.Fprintf(w, "changes: accepted %d, failed %d, p50 %s  p99 %s\n", c.Accepted, c.Failed, micros(c.P50), micros(c.P99))
	}
	fmt.Fprintf(w, "not sent in time %d; wrong answers %d, ran twice %d, told not-run but ran %d, beyond a slot %d\n", r.Skipped, r.Wrong, r.RanTwice, r.RanDespiteNotRun, r.Over)
}

// micros converts microseconds to a duration.
func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
