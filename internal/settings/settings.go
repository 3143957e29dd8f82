// Package settings defines the sections that the settings files of both
// programs share, and the types to check them. Sections of only one program are
// defined in packages gateway and servesettings.
package settings

import "cairndock/internal/tomlfile"

// Duration is a duration written as text, such as "1.5s".
type Duration = tomlfile.Duration

// Host is the section with the name and location of this host.
type Host struct {
	// Name is unique among all hosts.
	Name string `toml:"name"`
	// Zone is the availability zone of the host, and Region is the region of
	// that zone.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// Check adds the errors of the section to f.
func (h Host) Check(f *Faults) {
	f.Require(h.Name != "", "host.name", "must be set")
	f.Require(h.Zone != "", "host.zone", "must be set")
	f.Require(h.Region != "", "host.region", "must be set")
}

// Telemetry is the section that configures logs and traces.
type Telemetry struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level"`
	// Traces is none, stdout or otlp. OTLPEndpoint is the URL to send traces to
	// if Traces is otlp.
	Traces       string `toml:"traces"`
	OTLPEndpoint string `toml:"otlp_endpoint"`
	// TraceShare is the fraction of new traces that are recorded, from 0 to 1.
	TraceShare float64 `toml:"trace_share"`
}

// Faults collects the errors of a settings file, each with its key.
type Faults []error

// Require adds an error for key unless ok is true.
func (f *Faults) Require(ok bool, key, problem string) {
	if !ok {
		*f = append(*f, tomlfile.KeyError{Key: key, Problem: problem})
	}
}
