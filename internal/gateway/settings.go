package gateway

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
	"cairndock/internal/tomlfile"
)

// Settings are one gateway host's settings, read from a TOML file at its start.
type Settings struct {
	Host   settings.Host  `toml:"host"`
	Listen ListenSettings `toml:"listen"`
	Store  StoreSettings  `toml:"store"`
	// Seeds are addresses of hosts that may know other hosts. Only their IP is
	// used: all hosts listen for peers at the same port.
	Seeds []string `toml:"seeds"`
	// FirstStart is set while the deployment starts for the first time: a host may
	// then wait for others, as no clients are there yet.
	FirstStart bool `toml:"first_start"`
	// Zones maps each availability zone to its region.
	Zones     map[string]string `toml:"zones"`
	Resources ResourceSettings  `toml:"resources"`
	Limits    LimitSettings     `toml:"limits"`
	Stop      StopSettings      `toml:"stop"`
	// Telemetry sets the traces and the level of the decision log, which goes
	// to standard output.
	Telemetry settings.Telemetry `toml:"telemetry"`
	Log       LogSettings        `toml:"log"`
}

// ListenSettings are the addresses to listen at.
type ListenSettings struct {
	// Callers is for clients' requests.
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Directory string `toml:"directory"`
	// Peers is for the other hosts: heartbeats and relayed tables.
	Peers string `toml:"peers"`
	// Metrics also serves profiles; an empty address serves neither.
	Metrics string `toml:"metrics"`
}

// StoreSettings say where the platform's store is.
type StoreSettings struct {
	Address string `toml:"address"`
}

// ResourceSettings are what the host may use. Hosts with more of both get more
// clients; zero is not known, and where no host knows, all count alike.
type ResourceSettings struct {
	// Cores is the processor time, in cores.
	Cores float64 `toml:"cores"`
	// BandwidthMbps is the host's link, in megabits a second.
	BandwidthMbps float64 `toml:"bandwidth_mbps"`
}

// LimitSettings are bounds on what all hosts do together.
type LimitSettings struct {
	// RetryRatio is the retries allowed for each request of a service within
	// RetryWindow, and RetrySlack the retries allowed in addition.
	RetryRatio  float64           `toml:"retry_ratio"`
	RetryWindow settings.Duration `toml:"retry_window"`
	RetrySlack  float64           `toml:"retry_slack"`
	// WarmUpOvershoot and WarmUpSlack bound the requests a second to a cold
	// upstream: its own rate times the first, plus the second.
	WarmUpOvershoot float64 `toml:"warm_up_overshoot"`
	WarmUpSlack     float64 `toml:"warm_up_slack"`
	// ApplyWithin is how soon a configuration must be in force on every host
	// that reaches the store, DrainWithin how soon a draining upstream gets no
	// new request, and EvacuateWithin how soon an evacuated zone gets none.
	// Zero sets no bound.
	ApplyWithin    settings.Duration `toml:"apply_within"`
	DrainWithin    settings.Duration `toml:"drain_within"`
	EvacuateWithin settings.Duration `toml:"evacuate_within"`
	// StrictRevocation has a host refuse keys of client accounts while it has not heard
	// for RevokeWithin whether they were taken away. Else it serves by what it knows.
	StrictRevocation bool              `toml:"strict_revocation"`
	RevokeWithin     settings.Duration `toml:"revoke_within"`
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound the requests of a client account
	// over all hosts (quota.Bound).
	QuotaWindow    settings.Duration `toml:"quota_window"`
	QuotaOvershoot float64           `toml:"quota_overshoot"`
	QuotaSlack     float64           `toml:"quota_slack"`
	// DirectoryTTL is how long clients may cache a response of the directory.
	DirectoryTTL settings.Duration `toml:"directory_ttl"`
}

// StopSettings set a planned stop.
type StopSettings struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace settings.Duration `toml:"grace"`
}

// LogSettings bound the log's lines on requests.
type LogSettings struct {
	// OneIn is how many requests that were served there are to each one that is
	// written.
	OneIn int `toml:"one_in"`
	// ServedPerSecond and FailedPerSecond bound the lines a second on requests
	// that were served and on those that failed.
	ServedPerSecond int `toml:"served_per_second"`
	FailedPerSecond int `toml:"failed_per_second"`
}

func (l LogSettings) sampling() eventlog.Sampling {
	return eventlog.Sampling(l)
}

// LoadSettings reads a gateway's settings from a TOML file over the defaults.
// Its error names every faulty key at once.
func LoadSettings(path string) (Settings, error) {
	s := defaultSettings()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrap(err, "read settings")
	}
	if err := tomlfile.Decode(text, &s); err != nil {
		return s, err
	}
	telemetry.Default(&s.Telemetry)
	return s, s.check()
}

// The defaults hold where the platform sets no bound. They are stricter
// than the bounds of the sites known.
const (
	// defaultRetryRatio is in retries per request.
	defaultRetryRatio = 0.1
	// defaultRetryWindow is the window that the sites' bounds use.
	defaultRetryWindow = 10 * time.Second
	// defaultWarmUpOvershoot sends a cold upstream no more than its own rate.
	defaultWarmUpOvershoot = 1.0
	// defaultMaxRevocationDelay and defaultQuotaWindow are the bounds of the sites known.
	defaultMaxRevocationDelay = 5 * time.Second
	defaultQuotaWindow  = 5 * time.Second
	// defaultDirectoryTTL is well below the 5 s for which clients accept it.
	defaultDirectoryTTL = 2 * time.Second
	// defaultGrace is the grace period of the sites known.
	defaultGrace = 6 * time.Second
	// defaultStaleness is the tightest bound of the sites known.
	defaultStaleness = 2 * time.Second
)

// minStaleness is the least bound that can be kept: a watcher's waits are parts of
// it, and a question to another region takes 70 ms there and back.
const minStaleness = 500 * time.Millisecond

// defaultSettings gives the values of keys that the file leaves out. A zero in
// the file stays a zero.
func defaultSettings() Settings {
	return Settings{
		Limits: LimitSettings{
			RetryRatio: defaultRetryRatio, RetryWindow: settings.Duration(defaultRetryWindow), WarmUpOvershoot: defaultWarmUpOvershoot,
			RevokeWithin: settings.Duration(defaultMaxRevocationDelay), QuotaWindow: settings.Duration(defaultQuotaWindow),
			DirectoryTTL: settings.Duration(defaultDirectoryTTL),
		},
		Stop: StopSettings{Grace: settings.Duration(defaultGrace)},
		Log:  LogSettings(eventlog.DefaultSampling()),
	}
}

func (s *Settings) check() error {
	var f settings.Faults
	s.Host.Check(&f)
	f.Require(s.Listen.Callers != "", "listen.callers", "must be set")
	f.Require(s.Listen.Readiness != "", "listen.readiness", "must be set")
	f.Require(s.Listen.Directory != "", "listen.directory", "must be set")
	f.Require(s.Listen.Peers != "", "listen.peers", "must be set")
	f.Require(s.Store.Address != "", "store.address", "must be set")
	f.Require(s.Resources.Cores >= 0, "resources.cores", "must not be below 0")
	f.Require(s.Resources.BandwidthMbps >= 0, "resources.bandwidth_mbps", "must not be below 0")
	f.Require(s.Limits.RetryRatio >= 0, "limits.retry_ratio", "must not be below 0")
	f.Require(s.Limits.RetryWindow > 0, "limits.retry_window", "must be above 0")
	f.Require(s.Limits.WarmUpOvershoot > 0, "limits.warm_up_overshoot", "must be above 0")
	checkStaleness(&f, "limits.apply_within", s.Limits.ApplyWithin)
	checkStaleness(&f, "limits.drain_within", s.Limits.DrainWithin)
	checkStaleness(&f, "limits.evacuate_within", s.Limits.EvacuateWithin)
	f.Require(s.Limits.RevokeWithin > 0, "limits.revoke_within", "must be above 0")
	f.Require(s.Limits.QuotaWindow > 0, "limits.quota_window", "must be above 0")
	f.Require(s.Limits.QuotaOvershoot >= 0, "limits.quota_overshoot", "must not be below 0")
	f.Require(s.Limits.QuotaSlack >= 0, "limits.quota_slack", "must not be below 0")
	f.Require(s.Limits.DirectoryTTL > 0, "limits.directory_ttl", "must be above 0")
	f.Require(s.Stop.Grace > 0, "stop.grace", "must be above 0")
	f.Require(s.Log.OneIn > 0, "log.one_in", "must be above 0")
	f.Require(s.Log.ServedPerSecond >= 0, "log.served_per_second", "must not be below 0")
	f.Require(s.Log.FailedPerSecond >= 0, "log.failed_per_second", "must not be below 0")
	telemetry.Check(s.Telemetry, &f)
	return errors.Join(f...)
}

func checkStaleness(f *settings.Faults, key string, d settings.Duration) {
	f.Require(d == 0 || time.Duration(d) >= minStaleness, key, "must be 500ms or more")
}

// peerSeeds gives the seeds' addresses for peers. A seed or a listen address
// without a port gives none: it is only a hint, and the store lists the hosts.
func (s Settings) peerSeeds() []string {
	_, port, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		return nil
	}
	var seeds []string
	for _, seed := range s.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		seeds = append(seeds, net.JoinHostPort(ip, port))
	}
	return seeds
}

// regions gives the regions of the zones and the host's own.
func (s Settings) regions() []string {
	regions := map[string]bool{s.Host.Region: true}
	for _, region := range s.Zones {
		regions[region] = true
	}
	return slices.Sorted(maps.Keys(regions))
}

// maxKeyAge is the age of the configuration up to which keys are accepted; zero is any.
func (l LimitSettings) maxKeyAge() time.Duration {
	if !l.StrictRevocation {
		return 0
	}
	return time.Duration(l.RevokeWithin)
}

// Staleness is how old a host's replicas may be while it reaches the store: the
// tightest of ApplyWithin, DrainWithin and EvacuateWithin.
func (l LimitSettings) Staleness() time.Duration {
	var tightest time.Duration
	for _, d := range []settings.Duration{l.ApplyWithin, l.DrainWithin, l.EvacuateWithin} {
		if bound := time.Duration(d); bound > 0 && (tightest == 0 || bound < tightest) {
			tightest = bound
		}
	}
	return cmp.Or(tightest, defaultStaleness)
}
