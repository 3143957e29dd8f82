// Package servesettings defines the settings of a host of `cairndock serve`, with
// one type for each section. The defaults and checks of a section are in the
// package that uses it: entry, caller, operator, store, tlsfiles or telemetry.
package servesettings

import (
	"os"

	"github.com/rotisserie/eris"

	"cairndock/internal/resources"
	"cairndock/internal/settings"
	"cairndock/internal/tomlfile"
)

// Settings contains all settings of one host, by section of the settings file.
type Settings struct {
	Host      settings.Host      `toml:"host"`
	Callers   Callers            `toml:"callers"`
	Operators Operators          `toml:"operators"`
	Peers     Peers              `toml:"peers"`
	Platform  Platform           `toml:"platform"`
	Telemetry settings.Telemetry `toml:"telemetry"`
	Stop      Stop               `toml:"stop"`
	Resources resources.Limits   `toml:"resources"`
}

// TLS configures the files of a mutual TLS listener by path. The files are
// reloaded when they change. All paths are empty for plain TCP.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// Enabled reports whether any file is set.
func (t TLS) Enabled() bool { return t.Certificate != "" || t.Key != "" || t.CA != "" }

// Callers configures the listener for clients.
type Callers struct {
	// Listen is the address to listen on. Advertise is the address that clients
	// receive; it defaults to Listen.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// MaxBody and MaxHeader limit the size of a request, in bytes.
	MaxBody   int64 `toml:"max_body"`
	MaxHeader int   `toml:"max_header"`
	// TTL is how long clients may cache a response of the directory.
	TTL settings.Duration `toml:"ttl"`
	// TrustForwarded means that a client's address is read from X-Forwarded-For.
	TrustForwarded bool `toml:"trust_forwarded"`
}

// Operators configures the listener for operators.
type Operators struct {
	// Listen is the address to listen on.
	Listen string `toml:"listen"`
	// Token is the bearer token that is required to change the configuration.
	Token string `toml:"token"`
	TLS   TLS    `toml:"tls"`
}

// Peers configures the listener for other hosts.
type Peers struct {
	// Listen is the address to listen on. Advertise is the address to which
	// other hosts connect; it defaults to Listen.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Seeds are addresses of other hosts, used while the platform is
	// unreachable.
	Seeds []string `toml:"seeds"`
	TLS   TLS      `toml:"tls"`
}

// Platform configures access to the table, the object store and the host list.
type Platform struct {
	// TableEndpoint and ObjectEndpoint are URLs of services with the DynamoDB
	// and S3 protocols. HostsURL is the URL of the host list in JSON.
	TableEndpoint  string `toml:"table_endpoint"`
	Table          string `toml:"table"`
	ObjectEndpoint string `toml:"object_endpoint"`
	Bucket         string `toml:"bucket"`
	HostsURL       string `toml:"hosts_url"`
	Region         string `toml:"region"`
	AccessKey      string `toml:"access_key"`
	SecretKey      string `toml:"secret_key"`
	// CallsPerSecond limits the rate of this host's calls to the platform.
	CallsPerSecond float64 `toml:"calls_per_second"`
}

// Stop configures planned stops.
type Stop struct {
	// Window is the maximum time that a stop waits for requests in flight.
	Window settings.Duration `toml:"window"`
	// Grace is the time during which clients may still send requests after the
	// directory has removed the host from its responses.
	Grace settings.Duration `toml:"grace"`
}

// Load reads a settings file. It returns an error if the file can't be read or
// decoded, or contains unknown keys.
func Load(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrap(err, "read settings")
	}
	return s, tomlfile.Decode(data, &s)
}
