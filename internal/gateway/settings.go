package gateway

import (
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
	"cairndock/internal/tomlfile"
)

// Settings are the settings of one gateway host, read from a TOML file at its start.
type Settings struct {
	Host   settings.Host  `toml:"host"`
	Listen ListenSettings `toml:"listen"`
	Store  StoreSettings  `toml:"store"`
	// Seeds are addresses of hosts that may have a list of other hosts. Only their IP
	// addresses are used, because all hosts listen for peers at the same port.
	Seeds []string `toml:"seeds"`
	// FirstStart is set during the first start of the deployment. A host may then wait
	// for others, because there are no clients yet.
	FirstStart bool `toml:"first_start"`
	// Zones maps each availability zone to its region.
	Zones     map[string]string `toml:"zones"`
	Resources ResourceSettings  `toml:"resources"`
	Limits    LimitSettings     `toml:"limits"`
	Balance   BalanceSettings   `toml:"balance"`
	Stop      StopSettings      `toml:"stop"`
	// Telemetry configures the traces and the level of the decision log, which is
	// written to standard output.
	Telemetry settings.Telemetry `toml:"telemetry"`
	Log       LogSettings        `toml:"log"`
}

// ListenSettings are the addresses of the listeners.
type ListenSettings struct {
	// Callers is the address for clients' requests.
	Callers string `toml:"callers"`
	// Readiness is the address of the readiness endpoint.
	Readiness string `toml:"readiness"`
	// Directory is the address of the directory of hosts for clients.
	Directory string `toml:"directory"`
	// Peers is the address for other hosts, which send heartbeats and poll relayed
	// tables.
	Peers string `toml:"peers"`
	// Metrics is the address for metrics and profiles; if it is empty, neither is
	// served.
	Metrics string `toml:"metrics"`
}

// StoreSettings configure access to the platform's store.
type StoreSettings struct {
	// Address is the store's address, as "host:port".
	Address string `toml:"address"`
}

// LimitSettings are bounds that all hosts comply with together.
type LimitSettings struct {
	// RetryRatio is the number of retries allowed per request of a service within
	// RetryWindow, and RetrySlack the number of retries allowed in addition.
	RetryRatio  float64           `toml:"retry_ratio"`
	RetryWindow settings.Duration `toml:"retry_window"`
	RetrySlack  float64           `toml:"retry_slack"`
	// WarmUpOvershoot and WarmUpSlack bound the requests per second to a cold upstream:
	// the upstream's own rate times WarmUpOvershoot, plus WarmUpSlack.
	WarmUpOvershoot float64 `toml:"warm_up_overshoot"`
	WarmUpSlack     float64 `toml:"warm_up_slack"`
	// ApplyWithin is the maximum time until a configuration applies on every host that
	// reaches the store. DrainWithin is the maximum time until a draining upstream
	// receives no new request, and EvacuateWithin until an evacuated zone receives none.
	// Zero sets no bound.
	ApplyWithin    settings.Duration `toml:"apply_within"`
	DrainWithin    settings.Duration `toml:"drain_within"`
	EvacuateWithin settings.Duration `toml:"evacuate_within"`
	// StrictRevocation makes a host reject keys of client accounts if it has not learned
	// for RevokeWithin whether they were revoked. Otherwise the host accepts keys by its
	// last known configuration.
	StrictRevocation bool              `toml:"strict_revocation"`
	RevokeWithin     settings.Duration `toml:"revoke_within"`
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound the requests of a client account
	// over all hosts (see quota.Bound).
	QuotaWindow    settings.Duration `toml:"quota_window"`
	QuotaOvershoot float64           `toml:"quota_overshoot"`
	QuotaSlack     float64           `toml:"quota_slack"`
	// CanaryShare is the maximum fraction of a service's requests that a bad version may get
	// while it is rolled out, and CanarySlack the number of requests that it may get in
	// addition.
	CanaryShare float64 `toml:"canary_share"`
	CanarySlack float64 `toml:"canary_slack"`
	// DirectoryTTL is how long clients may cache a response of the directory.
	DirectoryTTL settings.Duration `toml:"directory_ttl"`
	// MaxResponseHeadBytes is the maximum size of the status line and the header of an
	// upstream's response.
	MaxResponseHeadBytes int `toml:"max_response_head_bytes"`
	// MaxResponseBodyBytes is the maximum size of the body of an upstream's response.
	MaxResponseBodyBytes int64 `toml:"max_response_body_bytes"`
}

// BalanceSettings select rules for the choice of upstreams that are off by default.
type BalanceSettings struct {
	// EvenLoad shares the upstreams' load reports with the hosts of the zone, and chooses
	// upstreams by the load that the reports lead to expect.
	EvenLoad bool `toml:"even_load"`
	// ZoneCopies serves a key by an upstream of the host's own zone first. It requires
	// upstreams that can keep the objects of each zone.
	ZoneCopies bool `toml:"zone_copies"`
	// ZoneCopiesAbove is the mean size of a route's requests and responses, in bytes, from
	// which on ZoneCopies applies to the route.
	ZoneCopiesAbove int64 `toml:"zone_copies_above"`
}

// policy returns the policy of the host's balancer.
func (b BalanceSettings) policy() balance.Policy {
	p := balance.DefaultPolicy()
	p.EvenLoad, p.ZoneCopies, p.ZoneCopiesAbove = b.EvenLoad, b.ZoneCopies, b.ZoneCopiesAbove
	return p
}

// StopSettings configure a planned stop.
type StopSettings struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace settings.Duration `toml:"grace"`
}

// LogSettings limit the log lines about requests.
type LogSettings struct {
	// OneIn is the sampling interval of served requests: one of OneIn is logged.
	OneIn int `toml:"one_in"`
	// ServedPerSecond and FailedPerSecond are the maximum log lines per second about
	// served and about failed requests.
	ServedPerSecond int `toml:"served_per_second"`
	FailedPerSecond int `toml:"failed_per_second"`
}

func (l LogSettings) sampling() eventlog.Sampling {
	return eventlog.Sampling(l)
}

// LoadSettings reads a gateway's settings from a TOML file and applies defaults for
// missing keys. The error names all faulty keys.
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

// The defaults apply where the platform sets no bound. They are at least as strict as
// the bounds of all known deployments.
const (
	// defaultRetryRatio is in retries per request.
	defaultRetryRatio = 0.1
	// defaultRetryWindow is the window of the bounds in the known deployments.
	defaultRetryWindow = 10 * time.Second
	// defaultWarmUpOvershoot limits a cold upstream to its own rate.
	defaultWarmUpOvershoot = 1.0
	// defaultMaxRevocationDelay and defaultQuotaWindow are the bounds of the known
	// deployments.
	defaultMaxRevocationDelay = 5 * time.Second
	defaultQuotaWindow        = 5 * time.Second
	// defaultCanaryShare is in requests to the new version per request.
	defaultCanaryShare = 0.1
	// defaultDirectoryTTL is well below 5 s, the time for which clients accept a cached
	// response.
	defaultDirectoryTTL = 2 * time.Second
	// defaultGrace is the grace period of the known deployments.
	defaultGrace = 6 * time.Second
	// defaultStaleness is the tightest bound of the known deployments.
	defaultStaleness = 2 * time.Second
)

// defaultZoneCopiesAbove is the size from which on a request costs more between zones than a
// second first load of its object (docs/design/even-load.md).
const defaultZoneCopiesAbove = 8192

// minStaleness is the smallest staleness bound that can be met, because all waits of a
// watcher are fractions of the bound and a round trip to another region takes 70 ms.
const minStaleness = 500 * time.Millisecond

// defaultSettings returns the values of keys that are missing in the file. A zero in the
// file remains zero.
func defaultSettings() Settings {
	return Settings{
		Limits: LimitSettings{
			RetryRatio: defaultRetryRatio, RetryWindow: settings.Duration(defaultRetryWindow), WarmUpOvershoot: defaultWarmUpOvershoot,
			RevokeWithin: settings.Duration(defaultMaxRevocationDelay), QuotaWindow: settings.Duration(defaultQuotaWindow),
			CanaryShare: defaultCanaryShare, DirectoryTTL: settings.Duration(defaultDirectoryTTL),
			MaxResponseHeadBytes: exchange.DefaultMaxHeadBytes, MaxResponseBodyBytes: exchange.DefaultMaxBodyBytes,
		},
		Balance: BalanceSettings{ZoneCopiesAbove: defaultZoneCopiesAbove},
		Stop:    StopSettings{Grace: settings.Duration(defaultGrace)},
		Log:     LogSettings(eventlog.DefaultSampling()),
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
	s.Resources.Limits().Check(&f)
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
	f.Require(s.Limits.CanaryShare >= 0 && s.Limits.CanaryShare <= 1, "limits.canary_share", "must be from 0 to 1")
	f.Require(s.Limits.CanarySlack >= 0, "limits.canary_slack", "must not be below 0")
	f.Require(s.Limits.DirectoryTTL > 0, "limits.directory_ttl", "must be above 0")
	s.Limits.checkResponses(&f)
	f.Require(s.Balance.ZoneCopiesAbove >= 0, "balance.zone_copies_above", "must not be below 0")
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

// peerSeeds returns the peer addresses of the seeds. Seeds without a port are skipped,
// and a listen address without a port yields no seeds. This is no error, because seeds
// are only hints and the store lists the hosts.
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

// regions returns the regions of all zones and of the host itself, sorted.
func (s Settings) regions() []string {
	regions := map[string]bool{s.Host.Region: true}
	for _, region := range s.Zones {
		regions[region] = true
	}
	return slices.Sorted(maps.Keys(regions))
}
