package settings

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/tomlfile"
)

// Gateway is what one gateway host is told when it starts.
type Gateway struct {
	Host   Host          `toml:"host"`
	Listen GatewayListen `toml:"listen"`
	Store  GatewayStore  `toml:"store"`
	// Seeds are addresses of hosts that may know of others; only their IP
	// counts, as all hosts take peers at the same port.
	Seeds []string `toml:"seeds"`
	// Zones gives the region of each zone.
	Zones  map[string]string `toml:"zones"`
	Limits GatewayLimits     `toml:"limits"`
	Stop   GatewayStop       `toml:"stop"`
	// Telemetry says where traces go; logs always go to standard output.
	Telemetry Telemetry `toml:"telemetry"`
}

// GatewayListen names the addresses to listen at.
type GatewayListen struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Directory string `toml:"directory"`
	Peers     string `toml:"peers"`
	// Metrics may be empty.
	Metrics string `toml:"metrics"`
}

// GatewayStore says where the platform's store is.
type GatewayStore struct {
	Address string `toml:"address"`
}

// GatewayLimits bound what all hosts may do together.
type GatewayLimits struct {
	// RetryRatio is the repeats allowed for each request of a service in
	// RetryWindow, and RetrySlack the repeats allowed besides.
	RetryRatio  float64  `toml:"retry_ratio"`
	RetryWindow Duration `toml:"retry_window"`
	RetrySlack  float64  `toml:"retry_slack"`
	// WarmUpOvershoot and WarmUpSlack bound the requests that a cold
	// upstream gets in a second: its rate by the first, plus the second.
	WarmUpOvershoot float64 `toml:"warm_up_overshoot"`
	WarmUpSlack     float64 `toml:"warm_up_slack"`
	// ApplyWithin is how soon a configuration, DrainWithin how soon an
	// upstream's leaving, and EvacuateWithin how soon a zone's evacuation
	// must be in force on every host that reaches the store. Zero is no bound
	// of its own.
	ApplyWithin    Duration `toml:"apply_within"`
	DrainWithin    Duration `toml:"drain_within"`
	EvacuateWithin Duration `toml:"evacuate_within"`
	// DirectoryTTL is the longest time that callers may keep an answer of
	// the directory.
	DirectoryTTL Duration `toml:"directory_ttl"`
}

// GatewayStop sets a planned stop.
type GatewayStop struct {
	// Grace is the time between the request to stop and the kill.
	Grace Duration `toml:"grace"`
}

// LoadGateway reads a gateway's settings from a TOML file over the defaults
// and names every fault at once.
func LoadGateway(path string) (Gateway, error) {
	g := defaultGateway()
	text, err := os.ReadFile(path)
	if err != nil {
		return g, eris.Wrap(err, "read settings")
	}
	if err := tomlfile.Decode(text, &g); err != nil {
		return g, err
	}
	return g, g.check()
}

// The defaults of a gateway's settings.
const (
	defaultRetryRatio   = 0.1
	defaultRetryWindow  = 10 * time.Second
	defaultOvershoot    = 1.0
	defaultDirectoryTTL = 2 * time.Second
	defaultGrace        = 6 * time.Second
	defaultWithin       = 2 * time.Second
)

// minWithin is the least bound that a watcher's waits can be cut from.
const minWithin = 500 * time.Millisecond

// defaultGateway is what holds where the file says nothing; a zero in the file
// is a zero.
func defaultGateway() Gateway {
	return Gateway{
		Limits: GatewayLimits{
			RetryRatio: defaultRetryRatio, RetryWindow: Seconds(defaultRetryWindow), WarmUpOvershoot: defaultOvershoot,
			DirectoryTTL: Seconds(defaultDirectoryTTL),
		},
		Stop: GatewayStop{Grace: Seconds(defaultGrace)},
	}
}

func (g *Gateway) check() error {
	var f Faults
	f.Require(g.Host.Name != "", "host.name", "must be set")
	f.Require(g.Host.Zone != "", "host.zone", "must be set")
	f.Require(g.Host.Region != "", "host.region", "must be set")
	f.Require(g.Listen.Callers != "", "listen.callers", "must be set")
	f.Require(g.Listen.Readiness != "", "listen.readiness", "must be set")
	f.Require(g.Listen.Directory != "", "listen.directory", "must be set")
	f.Require(g.Listen.Peers != "", "listen.peers", "must be set")
	f.Require(g.Store.Address != "", "store.address", "must be set")
	f.Require(g.Limits.RetryRatio >= 0, "limits.retry_ratio", "must not be below 0")
	f.Require(g.Limits.RetryWindow > 0, "limits.retry_window", "must be above 0")
	f.Require(g.Limits.WarmUpOvershoot > 0, "limits.warm_up_overshoot", "must be above 0")
	checkWithin(&f, "limits.apply_within", g.Limits.ApplyWithin)
	checkWithin(&f, "limits.drain_within", g.Limits.DrainWithin)
	checkWithin(&f, "limits.evacuate_within", g.Limits.EvacuateWithin)
	f.Require(g.Limits.DirectoryTTL > 0, "limits.directory_ttl", "must be above 0")
	f.Require(g.Stop.Grace > 0, "stop.grace", "must be above 0")
	return errors.Join(f...)
}

func checkWithin(f *Faults, key string, d Duration) {
	f.Require(d == 0 || time.Duration(d) >= minWithin, key, "must be 500ms or more")
}

// PeerSeeds gives the peer addresses that the seeds lead to.
func (g Gateway) PeerSeeds() []string {
	_, port, err := net.SplitHostPort(g.Listen.Peers)
	if err != nil {
		return nil
	}
	var seeds []string
	for _, seed := range g.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			seeds = append(seeds, net.JoinHostPort(ip, port))
		}
	}
	return seeds
}

// Regions is how many regions the zones lie in.
func (g Gateway) Regions() int {
	regions := map[string]bool{g.Host.Region: true}
	for _, region := range g.Zones {
		regions[region] = true
	}
	return len(regions)
}

// Staleness is how old what a host knows may be while the store is in reach:
// the tightest of the bounds that are set.
func (l GatewayLimits) Staleness() time.Duration {
	tightest := time.Duration(0)
	for _, d := range []Duration{l.ApplyWithin, l.DrainWithin, l.EvacuateWithin} {
		if within := time.Duration(d); within > 0 && (tightest == 0 || within < tightest) {
			tightest = within
		}
	}
	if tightest == 0 {
		return defaultWithin
	}
	return tightest
}
