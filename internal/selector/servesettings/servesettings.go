// Package servesettings is the form of the settings of a host of serve, one type
// a section. Each section's defaults and checks stand beside the duty that it
// sets: in packages entry, caller, operator, store, tlsfiles and telemetry.
package servesettings

import (
	"os"

	"github.com/rotisserie/eris"

	"cairndock/internal/settings"
	"cairndock/internal/tomlfile"
)

// Settings are all settings of one host of serve, by the sections of the file.
type Settings struct {
	Host      settings.Host      `toml:"host"`
	Callers   Callers            `toml:"callers"`
	Operators Operators          `toml:"operators"`
	Peers     Peers              `toml:"peers"`
	Platform  Platform           `toml:"platform"`
	Telemetry settings.Telemetry `toml:"telemetry"`
	Stop      Stop               `toml:"stop"`
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

// Callers sets the listener for clients.
type Callers struct {
	// Listen is the address to listen at, and Advertise the one that
	// clients are given; it is Listen by default.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// MaxBody and MaxHeader bound a request, in bytes.
	MaxBody   int64 `toml:"max_body"`
	MaxHeader int   `toml:"max_header"`
	// TTL is how long clients may cache a response of the directory.
	TTL settings.Duration `toml:"ttl"`
	// TrustForwarded takes a client's address from X-Forwarded-For.
	TrustForwarded bool `toml:"trust_forwarded"`
}

// Operators sets the listener for operators.
type Operators struct {
	// Listen is the address to listen at.
	Listen string `toml:"listen"`
	// Token is the bearer token that changes of the configuration need.
	Token string `toml:"token"`
	TLS   TLS    `toml:"tls"`
}

// Peers sets the listener for other hosts.
type Peers struct {
	// Listen is the address to listen at, and Advertise the one that other hosts
	// connect to; it is Listen by default.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Seeds are addresses of other hosts, used while the platform can't be
	// reached.
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
	// CallsPerSecond limits this host's calls to the platform.
	CallsPerSecond float64 `toml:"calls_per_second"`
}

// Stop sets a planned stop.
type Stop struct {
	// Window is the longest that a stop waits for requests in flight.
	Window settings.Duration `toml:"window"`
	// Grace is how long clients may still send requests after the directory
	// stopped naming the host.
	Grace settings.Duration `toml:"grace"`
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
