// Package settings has the sections that the settings files of both programs
// share, and what their checks need. What only one of them has is in packages
// gateway and servesettings.
package settings

import (
	"time"

	"cairndock/internal/tomlfile"
)

// Duration is a duration written as text, such as "1.5s".
type Duration = tomlfile.Duration

// Host says which host this is, and where.
type Host struct {
	// Name is unique among all hosts.
	Name string `toml:"name"`
	// Zone is the availability zone, and Region its region.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// Check notes the section's faults.
func (h Host) Check(f *Faults) {
	f.Require(h.Name != "", "host.name", "must be set")
	f.Require(h.Zone != "", "host.zone", "must be set")
	f.Require(h.Region != "", "host.region", "must be set")
}

// Telemetry sets logs and traces.
type Telemetry struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level"`
	// Traces is none, stdout or otlp; OTLPEndpoint is a URL for the last.
	Traces       string `toml:"traces"`
	OTLPEndpoint string `toml:"otlp_endpoint"`
	// TraceShare is the share of new traces that are kept, 0 to 1.
	TraceShare float64 `toml:"trace_share"`
}

// Faults collects faulty keys.
type Faults []error

// Require notes a fault unless ok.
func (f *Faults) Require(ok bool, key, problem string) {
	if !ok {
		*f = append(*f, tomlfile.KeyError{Key: key, Problem: problem})
	}
}

// Default gives def for a zero value.
func Default[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Seconds makes a Duration.
func Seconds(d time.Duration) Duration { return Duration(d) }
