// Package settings holds what one entry host is told when it starts. Each
// section's defaults and checks stand beside the duty that it sets.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/tomlfile"
)

// Duration is a duration written as text, such as "1.5s".
type Duration = tomlfile.Duration

// Settings are all settings of one entry host.
type Settings struct {
	Host      Host      `toml:"host"`
	Callers   Callers   `toml:"callers"`
	Operators Operators `toml:"operators"`
	Peers     Peers     `toml:"peers"`
	Platform  Platform  `toml:"platform"`
	Telemetry Telemetry `toml:"telemetry"`
	Stop      Stop      `toml:"stop"`
}

// Host says who and where the host is.
type Host struct {
	// Name is unique among all entry hosts.
	Name string `toml:"name"`
	// Zone is the availability zone, and Region the region it is part of.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// TLS names the files of a mutual TLS listener. They are read again when
// they change. All are empty for plain TCP.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// Enabled reports whether any file is set.
func (t TLS) Enabled() bool { return t.Certificate != "" || t.Key != "" || t.CA != "" }

// Callers sets the listener for callers.
type Callers struct {
	// Listen is the address to listen at, and Advertise the one to tell
	// callers; it is Listen by default.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// MaxBody and MaxHeader bound a request, in bytes.
	MaxBody   int64 `toml:"max_body"`
	MaxHeader int   `toml:"max_header"`
	// TTL is how long callers may cache an answer on entries.
	TTL Duration `toml:"ttl"`
	// TrustForwarded takes a caller's address from X-Forwarded-For.
	TrustForwarded bool `toml:"trust_forwarded"`
}

// Operators sets the listener for operators.
type Operators struct {
	Listen string `toml:"listen"`
	// Token is what writes must bear.
	Token string `toml:"token"`
	TLS   TLS    `toml:"tls"`
}

// Peers sets the listener for other entry hosts.
type Peers struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Seeds are peer addresses to ask when the platform can't be.
	Seeds []string `toml:"seeds"`
	TLS   TLS      `toml:"tls"`
}

// Platform says how to reach the table, the object store and the host list.
type Platform struct {
	// TableEndpoint and ObjectEndpoint are URLs of services that speak the
	// DynamoDB and S3 protocols; HostsURL serves the host list as JSON.
	TableEndpoint  string `toml:"table_endpoint"`
	Table          string `toml:"table"`
	ObjectEndpoint string `toml:"object_endpoint"`
	Bucket         string `toml:"bucket"`
	HostsURL       string `toml:"hosts_url"`
	Region         string `toml:"region"`
	AccessKey      string `toml:"access_key"`
	SecretKey      string `toml:"secret_key"`
	// CallsPerSecond bounds this host's calls to the platform.
	CallsPerSecond float64 `toml:"calls_per_second"`
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

// Stop sets a planned stop.
type Stop struct {
	// Window is the longest that a stop waits for requests in flight.
	Window Duration `toml:"window"`
	// Grace is how long callers may still come after the host has left the
	// answers on entries.
	Grace Duration `toml:"grace"`
}

// Load reads a settings file. Unknown keys are refused.
func Load(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrap(err, "read settings")
	}
	return s, tomlfile.Decode(data, &s)
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
