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
	// ApplyWithin is how soon a configuration, and DrainWithin how soon an
	// upstream's leaving, must be in force on every host that reaches the
	// store.
	ApplyWithin Duration `toml:"apply_within"`
	DrainWithin Duration `toml:"drain_within"`
	// DirectoryTTL is the longest time that callers may keep an answer of
	// the directory.
	DirectoryTTL Duration `toml:"directory_ttl"`
}

// GatewayStop sets a planned stop.
type GatewayStop struct {
	// Grace is the time between the request to stop and the kill.
	Grace Duration `toml:"grace"`
}

// LoadGateway reads a gateway's settings from a TOML file, fills defaults
// and names every fault at once.
func LoadGateway(path string) (Gateway, error) {
	var g Gateway
	text, err := os.ReadFile(path)
	if err != nil {
		return g, eris.Wrap(err, "read settings")
	}
	if err := tomlfile.Decode(text, &g); err != nil {
		return g, err
	}
	g.fill()
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

func (g *Gateway) fill() {
	l := &g.Limits
	l.RetryRatio = Default(l.RetryRatio, defaultRetryRatio)
	l.RetryWindow = Default(l.RetryWindow, Seconds(defaultRetryWindow))
	l.WarmUpOvershoot = Default(l.WarmUpOvershoot, defaultOvershoot)
	l.ApplyWithin = Default(l.ApplyWithin, Seconds(defaultWithin))
	l.DrainWithin = Default(l.DrainWithin, Seconds(defaultWithin))
	l.DirectoryTTL = Default(l.DirectoryTTL, Seconds(defaultDirectoryTTL))
	g.Stop.Grace = Default(g.Stop.Grace, Seconds(defaultGrace))
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
	f.Require(time.Duration(g.Limits.ApplyWithin) >= minWithin, "limits.apply_within", "must be 500ms or more")
	f.Require(time.Duration(g.Limits.DrainWithin) >= minWithin, "limits.drain_within", "must be 500ms or more")
	f.Require(g.Stop.Grace > 0, "stop.grace", "must be above 0")
	return errors.Join(f...)
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

// Staleness is how old what a host knows may be while the store is in reach.
func (l GatewayLimits) Staleness() time.Duration {
	return time.Duration(min(l.ApplyWithin, l.DrainWithin))
}
