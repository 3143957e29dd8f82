package loadmodel

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/upstream"
)

// Model is one run of a scenario with one variant.
type Model struct {
	clock   clock
	random  *rand.Rand
	begin   time.Time
	end     time.Time
	delay   delays
	limits  retry.Limits
	regions map[string]bool
	places  map[string]*place
	// load is the sum of all zones' loads.
	load    float64
	hosts   []*host
	servers map[string]*server
	// byService has the servers of a service in their order, and entries what
	// hosts know of them.
	byService map[string][]*server
	entries   map[string][]*upstream.Upstream
	result    *Result
}

// delays are one-way delays.
type delays struct{ client, zone, region time.Duration }

// place is a zone in a run. factor multiplies its load.
type place struct {
	Zone
	hosts  []*host
	factor float64
}

// Run plays a scenario with a variant. Its own seed is that of the scenario plus
// another, so that a run can be repeated with other chances.
func Run(s Scenario, v Variant, seed uint64) *Result {
	m := newModel(s, seed)
	for _, name := range slices.Sorted(maps.Keys(m.places)) {
		z := m.places[name]
		for i := range z.Hosts {
			h := newHost(m, z, i, v)
			z.hosts = append(z.hosts, h)
			m.hosts = append(m.hosts, h)
		}
	}
	m.result.Variant = v.Name
	m.schedule(s)
	m.clock.play()
	for _, name := range slices.Sorted(maps.Keys(m.servers)) {
		m.result.FirstLoads += m.servers[name].firstLoads
	}
	return m.result
}

func newModel(s Scenario, seed uint64) *Model {
	// The moment does not matter, but for counting from it.
	begin := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	m := &Model{
		random: rand.New(rand.NewPCG(s.Seed, seed)), begin: begin, end: begin.Add(s.length()),
		delay:   delays{client: time.Duration(s.Delay.Client), zone: time.Duration(s.Delay.Zone), region: time.Duration(s.Delay.Region)},
		limits:  retry.Limits{Ratio: s.Retries.Ratio, Window: cmp.Or(time.Duration(s.Retries.Window), defaultWindow), Slack: s.Retries.Slack},
		regions: map[string]bool{}, places: map[string]*place{}, servers: map[string]*server{},
		byService: map[string][]*server{}, entries: map[string][]*upstream.Upstream{}, result: newResult(),
	}
	m.clock.now = begin
	for _, z := range s.Zones {
		m.places[z.Name] = &place{Zone: z, factor: 1}
		m.regions[z.Region] = true
		m.load += z.Load
	}
	for _, v := range s.Services {
		m.addServers(v)
	}
	return m
}

// defaultWindow is the window of the retry budget where a scenario names none.
const defaultWindow = 10 * time.Second

// addServers makes a service's upstreams.
func (m *Model) addServers(v Service) {
	for _, zone := range slices.Sorted(maps.Keys(v.Upstreams)) {
		for i := range v.Upstreams[zone] {
			id := v.Name + "-" + zone + "-" + strconv.Itoa(i)
			entry := &upstream.Upstream{Registration: upstream.Registration{
				ID: id, Service: v.Name, Zone: zone, Region: m.places[zone].Region, Capacity: v.Slots,
			}}
			s := &server{model: m, entry: entry, setup: v, slow: 1}
			m.servers[id] = s
			m.byService[v.Name] = append(m.byService[v.Name], s)
			m.entries[v.Name] = append(m.entries[v.Name], entry)
		}
	}
}

// schedule makes the arrivals, heartbeats and faults due.
func (m *Model) schedule(s Scenario) {
	for i := range s.Routes {
		for _, name := range slices.Sorted(maps.Keys(m.places)) {
			if z := m.places[name]; len(z.hosts) > 0 && z.Load > 0 {
				from := &source{model: m, route: &s.Routes[i], zone: z, random: rand.New(rand.NewPCG(m.random.Uint64(), m.random.Uint64()))}
				from.next()
			}
		}
	}
	for _, h := range m.hosts {
		m.clock.every(heartbeatEvery, m.end, h.heartbeat)
	}
	for _, f := range s.Faults {
		m.clock.in(time.Duration(f.At), func() { m.strike(f, true) })
		m.clock.in(time.Duration(f.At)+time.Duration(f.For), func() { m.strike(f, false) })
	}
}

// strike begins or ends a fault.
func (m *Model) strike(f Fault, begins bool) {
	switch f.Kind {
	case Burst:
		for _, z := range m.places {
			if f.Zone == "" || f.Zone == z.Name {
				z.factor = pick(begins, f.Factor, 1)
			}
		}
	case Restart:
		if begins {
			for _, h := range m.hosts {
				h.restart()
			}
		}
	default:
		servers := m.byService[f.Service]
		for _, s := range servers[:int(f.Part*float64(len(servers)))] {
			s.strike(f, begins)
		}
	}
}

// strike begins or ends a fault of one upstream.
func (s *server) strike(f Fault, begins bool) {
	switch f.Kind {
	case Slow:
		s.slow = pick(begins, f.Factor, 1)
	case Shed:
		s.shed = pick(begins, f.Factor, 0)
	case Down:
		s.down = begins
	}
}

// pick gives the first of two values if a condition holds.
func pick(condition bool, yes, no float64) float64 {
	if condition {
		return yes
	}
	return no
}
