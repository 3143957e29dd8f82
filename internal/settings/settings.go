// Package settings has the sections that the settings files of both programs
// share, and what their checks need. What only one of them has is in packages
// gateway and servesettings.
package settings

import "cairndock/internal/tomlfile"

// Duration is a duration written as text, such as "1.5s".
type Duration = tomlfile.Duration

// Host is the section with the name and place of this host.
type Host struct {
	// Name is unique among all hosts.
	Name string `toml:"name"`
	// Zone is the availability zone, and Region its region.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// Check adds the section's faults to f.
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

// Faults are the faults of a settings file, each with its key.
type Faults []error

// Require adds a fault unless ok.
func (f *Faults) Require(ok bool, key, problem string) {
	if !ok {
		*f = append(*f, tomlfile.KeyError{Key: key, Problem: problem})
	}
}
