package loadmodel

import (
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/settings"
	"cairndock/internal/tomlfile"
)

// Scenario is a deployment, its load, its faults and the variants to play.
type Scenario struct {
	Name string `toml:"name"`
	Seed uint64 `toml:"seed"`
	// Length is how long requests arrive.
	Length settings.Duration `toml:"length"`
	// Delay is the one-way delay between two places.
	Delay    Delay     `toml:"delay"`
	Zones    []Zone    `toml:"zone"`
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	Faults   []Fault   `toml:"fault"`
	Retries  Retries   `toml:"retries"`
	Variants []Variant `toml:"-"`
}

// file is a scenario as it is written. A variant names only what it changes.
type file struct {
	Scenario
	Variants []map[string]any `toml:"variant"`
}

// Delay is the one-way delay between two places.
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
	// Load is the part of each route's requests that the zone's clients send, in
	// proportion to the other zones.
	Load float64 `toml:"load"`
	// Phase is where in its wave the load of the zone begins, from 0 to 1.
	Phase float64 `toml:"phase"`
}

// Service is a service with its upstreams by zone.
type Service struct {
	Name      string         `toml:"name"`
	Upstreams map[string]int `toml:"upstreams"`
	// Slots is how many requests an upstream works on at once, Queue how many more
	// it holds, and Keeps how many objects it remembers.
	Slots int `toml:"slots"`
	Queue int `toml:"queue"`
	Keeps int `toml:"keeps"`
}

// Route is a sort of requests.
type Route struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	// Rate is the requests a second of all zones together. It swings by Swing
	// around that, over Period.
	Rate   float64           `toml:"rate"`
	Swing  float64           `toml:"swing"`
	Period settings.Duration `toml:"period"`
	// Work is how long an upstream works on an unknown object, with a relative
	// spread; of a known one it takes KnownPart of that.
	Work      settings.Duration `toml:"work"`
	Spread    float64           `toml:"spread"`
	KnownPart float64           `toml:"known_part"`
	// Objects is how many objects each region's clients ask for; zero is none, and
	// then no object is known.
	Objects int `toml:"objects"`
	// Objective is the time within which a response is worth most, Timeout how long
	// a host holds a request, and Deadline how long a client waits.
	Objective settings.Duration `toml:"objective"`
	Timeout   settings.Duration `toml:"timeout"`
	Deadline  settings.Duration `toml:"deadline"`
	// Weight is what a response is worth, and LateWeight what a late one is.
	Weight     float64 `toml:"weight"`
	LateWeight float64 `toml:"late_weight"`
	Priority   int     `toml:"priority"`
	Repeatable bool    `toml:"repeatable"`
	// Attempts bounds the upstreams that a host tries, and Returns how often a
	// client comes back.
	Attempts int `toml:"attempts"`
	Returns  int `toml:"returns"`
}

// FaultKind is a sort of fault.
type FaultKind string

// The sorts of faults.
const (
	// Slow multiplies the work of a part of a service's upstreams by Factor.
	Slow FaultKind = "slow"
	// Shed makes a part of them refuse Factor of their requests at random.
	Shed FaultKind = "shed"
	// Down makes a part of them refuse connections.
	Down FaultKind = "down"
	// Burst multiplies the load of a zone, or of all, by Factor.
	Burst FaultKind = "burst"
	// Restart makes all hosts forget what they know.
	Restart FaultKind = "restart"
)

// Fault is something that goes wrong for a time.
type Fault struct {
	Kind FaultKind         `toml:"kind"`
	At   settings.Duration `toml:"at"`
	For  settings.Duration `toml:"for"`
	// Service and Part say which upstreams: the first Part of them.
	Service string  `toml:"service"`
	Part    float64 `toml:"part"`
	Zone    string  `toml:"zone"`
	Factor  float64 `toml:"factor"`
}

// Retries are the limits that hosts share (retry.Limits).
type Retries struct {
	Ratio  float64           `toml:"ratio"`
	Window settings.Duration `toml:"window"`
	Slack  float64           `toml:"slack"`
}

// Variant is a policy to play. What it does not name is as hosts have it.
type Variant struct {
	Name    string         `toml:"name"`
	Balance balance.Policy `toml:"balance"`
	// Hedge and Retry switch these mechanisms.
	Hedge bool `toml:"hedge"`
	Retry bool `toml:"retry"`
	// PauseLeast and PauseJitter replace when a client that was refused returns;
	// zero leaves it as hosts have it.
	PauseLeast  settings.Duration `toml:"pause_least"`
	PauseJitter settings.Duration `toml:"pause_jitter"`
}

// DefaultVariant is what hosts run.
func DefaultVariant() Variant {
	return Variant{Name: "default", Balance: balance.DefaultPolicy(), Hedge: true, Retry: true}
}

// WithBalance gives the variant another name and balance policy.
func (v Variant) WithBalance(name string, p balance.Policy) Variant {
	v.Name, v.Balance = name, p
	return v
}

// Load reads a scenario from a TOML file. Its error names the faults.
func Load(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, eris.Wrap(err, "read scenario")
	}
	return Parse(text)
}

// Parse reads a scenario. Each variant is decoded over the default one.
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

// decodeVariant changes the default variant.
func decodeVariant(changes map[string]any) (Variant, error) {
	text, err := toml.Marshal(changes)
	if err != nil {
		return Variant{}, eris.Wrap(err, "variant")
	}
	v := DefaultVariant()
	return v, tomlfile.Decode(text, &v)
}

// check names the first fault of a scenario.
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
			return eris.Errorf("route %s: service %q is not there", r.Name, r.Service)
		case r.Rate <= 0 || r.Work <= 0 || r.Deadline <= 0:
			return eris.Errorf("route %s: rate, work and deadline must be above 0", r.Name)
		}
	}
	for _, f := range s.Faults {
		if (f.Kind == Slow || f.Kind == Shed || f.Kind == Down) && !services[f.Service] {
			return eris.Errorf("fault %s: service %q is not there", f.Kind, f.Service)
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

// length is how long requests arrive.
func (s Scenario) length() time.Duration { return time.Duration(s.Length) }
