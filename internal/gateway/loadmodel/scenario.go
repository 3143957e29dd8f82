package loadmodel

import (
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/settings"
	"cairndock/internal/tomlfile"
)

// Scenario is a deployment, its load, its faults and the variants to simulate.
type Scenario struct {
	Name string `toml:"name"`
	Seed uint64 `toml:"seed"`
	// Length is the period in which requests arrive.
	Length settings.Duration `toml:"length"`
	// Delay has the one-way network delays.
	Delay    Delay     `toml:"delay"`
	Zones    []Zone    `toml:"zone"`
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	Faults   []Fault   `toml:"fault"`
	Rollouts []Rollout `toml:"rollout"`
	Retries  Retries   `toml:"retries"`
	Variants []Variant `toml:"-"`
}

// file is a scenario as written in TOML. A variant has only the settings that differ
// from the default variant.
type file struct {
	Scenario
	Variants []map[string]any `toml:"variant"`
}

// Delay has the one-way network delays: between a client and a host (Client), between
// zones of a region (Zone) and between regions (Region).
type Delay struct {
	Client settings.Duration `toml:"client"`
	Zone   settings.Duration `toml:"zone"`
	Region settings.Duration `toml:"region"`
}

// Zone is an availability zone with its hosts and clients.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Hosts  int    `toml:"hosts"`
	// Load is the weight of the zone in each route's requests: the clients of the zone
	// send Load / (sum of Load over all zones) of the requests.
	Load float64 `toml:"load"`
	// Phase is the position in the period of the load at which the zone begins, from 0
	// to 1.
	Phase float64 `toml:"phase"`
}

// Service is a service with its upstreams by zone.
type Service struct {
	Name      string         `toml:"name"`
	Upstreams map[string]int `toml:"upstreams"`
	// Slots is the number of requests that an upstream processes at once, Queue the
	// number of requests that may wait in addition, and CacheSize the number of objects in
	// its cache.
	Slots     int `toml:"slots"`
	Queue     int `toml:"queue"`
	CacheSize int `toml:"keeps"`
}

// Route is a class of requests to one service.
type Route struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	// Rate is the mean number of requests per second from all zones together. The rate
	// varies as a sine wave with the relative amplitude Swing and the period Period;
	// it is constant if Period is zero.
	Rate   float64           `toml:"rate"`
	Swing  float64           `toml:"swing"`
	Period settings.Duration `toml:"period"`
	// Work is the mean processing time of an object that is not in the cache of the
	// upstream, and Spread its relative standard deviation. A cached object takes
	// CachedFraction of that time.
	Work           settings.Duration `toml:"work"`
	Spread         float64           `toml:"spread"`
	CachedFraction float64           `toml:"known_part"`
	// Objects is the number of different objects that the clients of a region request.
	// With zero, requests have no object and no object is cached.
	Objects int `toml:"objects"`
	// Objective is the latency up to which a response has the full weight (zero: any
	// latency), Timeout the time after which a host fails a request (zero: the
	// deadline), and Deadline the time after which a client times out.
	Objective settings.Duration `toml:"objective"`
	Timeout   settings.Duration `toml:"timeout"`
	Deadline  settings.Duration `toml:"deadline"`
	// Bytes is the mean size of a request and its response, without their headers.
	Bytes int64 `toml:"bytes"`
	// Weight is the weight of a response within the objective, and LateWeight that of a
	// later one.
	Weight     float64 `toml:"weight"`
	LateWeight float64 `toml:"late_weight"`
	Priority   int     `toml:"priority"`
	Repeatable bool    `toml:"repeatable"`
	// Attempts is the maximum number of upstreams that a host tries, and
	// MaxClientRetries the maximum number of retries by a client.
	Attempts         int `toml:"attempts"`
	MaxClientRetries int `toml:"returns"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// Slow multiplies the processing time of a fraction of a service's upstreams by
	// Factor.
	Slow FaultKind = "slow"
	// Shed makes a fraction of the upstreams refuse the fraction Factor of their
	// requests at random.
	Shed FaultKind = "shed"
	// Down makes a fraction of the upstreams refuse connections.
	Down FaultKind = "down"
	// Burst multiplies the load of one zone, or of all zones, by Factor.
	Burst FaultKind = "burst"
	// Restart discards the state of all hosts, as a restart does.
	Restart FaultKind = "restart"
	// Silent makes a fraction of the upstreams report no load, and Idle makes them report
	// that they are idle.
	Silent FaultKind = "silent"
	Idle   FaultKind = "idle"
	// HostsLost removes a fraction of the hosts of each zone, which finish what they have.
	// They start again at the end of the fault.
	HostsLost FaultKind = "hosts-lost"
)

// ofUpstreams reports whether the fault is one of a service's upstreams.
func (k FaultKind) ofUpstreams() bool {
	return slices.Contains([]FaultKind{Slow, Shed, Down, Silent, Idle}, k)
}

// Fault is a fault that starts at At and lasts for For, both counted in virtual time.
type Fault struct {
	Kind FaultKind         `toml:"kind"`
	At   settings.Duration `toml:"at"`
	For  settings.Duration `toml:"for"`
	// Service and Fraction select the upstreams with the fault: the first upstreams of
	// Service, up to Fraction (0 to 1) of their number. HostsLost applies Fraction to hosts.
	Service  string  `toml:"service"`
	Fraction float64 `toml:"part"`
	// Zone is the zone with the fault; empty for all zones (Burst only).
	Zone   string  `toml:"zone"`
	Factor float64 `toml:"factor"`
}

// Retries has the limits of the retry budget that the hosts share (retry.Limits).
type Retries struct {
	Ratio  float64           `toml:"ratio"`
	Window settings.Duration `toml:"window"`
	Slack  float64           `toml:"slack"`
}

// Variant is a policy to simulate. Settings that a scenario omits have the defaults of
// hosts.
type Variant struct {
	Name    string         `toml:"name"`
	Balance balance.Policy `toml:"balance"`
	// Hedge and Retry enable these mechanisms.
	Hedge bool `toml:"hedge"`
	Retry bool `toml:"retry"`
	// ZoneReports makes the hosts of a zone exchange the load reports of upstreams at the
	// interval of their heartbeats.
	ZoneReports bool `toml:"zone_reports"`
	// OldHosts is the fraction of the hosts of each zone that run the default variant.
	OldHosts float64 `toml:"old_hosts"`
	// MinRetryDelay and RetryJitter replace the minimum and the jitter of the delay after
	// which a refused client retries. If MinRetryDelay is zero, the delay is that of
	// hosts.
	MinRetryDelay settings.Duration `toml:"pause_least"`
	RetryJitter   settings.Duration `toml:"pause_jitter"`
}

// DefaultVariant returns the policy that hosts use.
func DefaultVariant() Variant {
	return Variant{Name: "default", Balance: balance.DefaultPolicy(), Hedge: true, Retry: true}
}

// of returns the variant of a host by its position among the n hosts of its zone.
func (v Variant) of(position, n int) Variant {
	if float64(position) < v.OldHosts*float64(n) {
		return DefaultVariant()
	}
	return v
}

// WithBalance returns the variant with another name and balance policy.
func (v Variant) WithBalance(name string, p balance.Policy) Variant {
	v.Name, v.Balance = name, p
	return v
}

// Load reads a scenario from a TOML file. The error describes what is invalid.
func Load(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, eris.Wrap(err, "read scenario")
	}
	return Parse(text)
}

// Parse decodes and validates a scenario in TOML. Each variant is decoded over the
// default variant. The error describes what is invalid.
func Parse(text []byte) (Scenario, error) {
	var f file
	if err := tomlfile.Decode(text, &f); err != nil {
		return Scenario{}, err
	}
	s := f.Scenario
	for _, changes := range f.Variants {
		v, err := decodeVariant(changes)
		if err != nil {
			return Scenario{}, err
		}
		s.Variants = append(s.Variants, v)
	}
	if len(s.Variants) == 0 {
		s.Variants = []Variant{DefaultVariant()}
	}
	return s, s.check()
}

// decodeVariant applies changes to the default variant.
func decodeVariant(changes map[string]any) (Variant, error) {
	text, err := toml.Marshal(changes)
	if err != nil {
		return Variant{}, eris.Wrap(err, "variant")
	}
	v := DefaultVariant()
	return v, tomlfile.Decode(text, &v)
}

// check returns an error for the first invalid value of a scenario.
func (s Scenario) check() error {
	services := map[string]bool{}
	for _, v := range s.Services {
		services[v.Name] = true
		if v.Slots <= 0 {
			return eris.Errorf("service %s: slots must be above 0", v.Name)
		}
	}
	for _, r := range s.Routes {
		switch {
		case !services[r.Service]:
			return eris.Errorf("route %s: service %q is not defined", r.Name, r.Service)
		case r.Rate <= 0 || r.Work <= 0 || r.Deadline <= 0:
			return eris.Errorf("route %s: rate, work and deadline must be above 0", r.Name)
		}
	}
	for _, f := range s.Faults {
		if f.Kind.ofUpstreams() && !services[f.Service] {
			return eris.Errorf("fault %s: service %q is not defined", f.Kind, f.Service)
		}
	}
	for _, r := range s.Rollouts {
		if err := r.check(services); err != nil {
			return err
		}
	}
	hosts, load := 0, 0.0
	for _, z := range s.Zones {
		hosts += z.Hosts
		load += z.Load
	}
	if hosts == 0 || load <= 0 || s.Length <= 0 {
		return eris.New("hosts, load and length must be above 0")
	}
	return nil
}

// length returns the period in which requests arrive.
func (s Scenario) length() time.Duration { return time.Duration(s.Length) }
