package eventlog

import (
	"time"

	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
)

// ms gives a duration in milliseconds, as all durations are written.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Request  string
	Route    string
	Service  string
	Upstream string
	Zone     string
	// Key is what the request is about.
	Key string
	// Number counts the request's attempts from 1.
	Number int
	// Config is the version of the configuration that decided it.
	Config int64
	// Load is the upstream's load as believed, and LoadAge its age;
	// negative when the upstream never told it.
	Load    float64
	LoadAge time.Duration
	Rank    int
	Cold    bool
	// Outcome is "answered" or the reason of the failure.
	Outcome string
	Status  int
	Failed  bool
	Took    time.Duration
	Detail  string
}

// Attempt writes how one sending of a request ended.
func (l *Log) Attempt(a Attempt) {
	e := l.request("attempt", a.Request, a.Failed)
	if e == nil {
		return
	}
	e.Str("route", a.Route).Str("service", a.Service).Str("upstream", a.Upstream).Str("zone", a.Zone).
		Str("key", a.Key).Int("attempt", a.Number).Int64("config", a.Config).Float64("load", a.Load).Float64("load_age_ms", ms(a.LoadAge)).
		Int("rank", a.Rank).Bool("cold", a.Cold).Str("outcome", a.Outcome).Int("status", a.Status).
		Float64("took_ms", ms(a.Took)).Str("detail", a.Detail).Msg("request: attempt ended")
}

// Final is the answer that a caller got.
type Final struct {
	Request  string
	Route    string
	Service  string
	Attempts int
	Config   int64
	// ConfigAge and UpstreamsAge are how long ago the sources of what
	// decided it last answered.
	ConfigAge    time.Duration
	UpstreamsAge time.Duration
	Status       int
	Verdict      string
	Reason       string
	Failed       bool
	Took         time.Duration
	Detail       string
}

// Final writes the answer that a caller got.
func (l *Log) Final(f Final) {
	e := l.request("final", f.Request, f.Failed)
	if e == nil {
		return
	}
	e.Str("route", f.Route).Str("service", f.Service).Int("attempts", f.Attempts).Int64("config", f.Config).
		Float64("config_age_ms", ms(f.ConfigAge)).Float64("upstreams_age_ms", ms(f.UpstreamsAge)).
		Int("status", f.Status).Str("verdict", f.Verdict).Str("reason", f.Reason).
		Float64("took_ms", ms(f.Took)).Str("detail", f.Detail).Msg("request: final answer")
}

// Config writes that a configuration is in force.
func (l *Log) Config(version int64, routes int) {
	if e := l.stateChange("config"); e != nil {
		e.Int64("version", version).Int("routes", routes).Msg("config: in force")
	}
}

// BadRow writes that a row of a table can't be read.
func (l *Log) BadRow(table, key string, version int64, fault error) {
	if e := l.stateChange("bad-row"); e != nil {
		e.Str("table", table).Str("key", key).Int64("version", version).Err(fault).Msg("watch: row can't be read, the last good one stays")
	}
}

// Ejected writes that an upstream is avoided for a time, and what speaks
// against it.
func (l *Log) Ejected(f outlier.Ejection) {
	l.metrics.Count("cairndock_ejections_total")
	if e := l.stateChange("ejected"); e != nil {
		e.Str("upstream", f.Upstream).Int("bad", f.Failures).Int("good", f.Successes).Int("hosts", f.Hosts).
			Float64("for_ms", ms(f.For)).Msg("upstream: avoided for a time")
	}
}

// Upstream writes what became of an upstream.
func (l *Log) Upstream(id string, in upstream.Registration, state string, version int64) {
	if e := l.stateChange("upstream"); e != nil {
		e.Str("upstream", id).Str("service", in.Service).Str("zone", in.Zone).Str("state", state).
			Int64("version", version).Float64("cold_ms", ms(in.ColdLeft)).Msg("upstream: changed")
	}
}

// Evacuated writes which zones are to receive nothing.
func (l *Log) Evacuated(zones []string, version int64) {
	if e := l.stateChange("evacuated"); e != nil {
		e.Strs("zones", zones).Int64("version", version).Msg("evacuation: changed")
	}
}

// Lost writes that a dependency stopped answering, and Regained that it
// answers again.
func (l *Log) Lost(kind, name string, err error) {
	if e := l.stateChange("lost"); e != nil {
		e.Str("dependency", kind).Str("name", name).Err(err).Msg("dependency: lost")
	}
}

// Regained writes that a dependency answers again.
func (l *Log) Regained(kind, name string, after time.Duration) {
	if e := l.stateChange("regained"); e != nil {
		e.Str("dependency", kind).Str("name", name).Float64("after_ms", ms(after)).Msg("dependency: regained")
	}
}

// Process writes that the process starts, stops or reloads.
func (l *Log) Process(what, detail string) {
	if e := l.stateChange(what); e != nil {
		e.Str("detail", detail).Msg("process: " + what)
	}
}
