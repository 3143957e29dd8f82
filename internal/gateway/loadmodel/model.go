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

// Model is the state of one run of a scenario with one variant.
type Model struct {
	clock   clock
	random  *rand.Rand
	start   time.Time
	end     time.Time
	delay   delays
	limits  retry.Limits
	regions map[string]bool
	zones   map[string]*zoneState
	// totalLoad is the sum of the loads of all zones.
	totalLoad float64
	hosts     []*host
	upstreams map[string]*upstreamSim
	// byService has the upstreams of each service in the order of their creation;
	// entries has their registrations as hosts see them.
	byService map[string][]*upstreamSim
	entries   map[string][]*upstream.Upstream
	result    *Result
	rollouts  []*rolloutSim
}

// delays are one-way network delays.
type delays struct{ client, zone, region time.Duration }

// zoneState is a zone in a run. factor multiplies the load of the zone.
type zoneState struct {
	Zone
	// hosts are those that run now, of all hosts of the zone.
	hosts, all []*host
	factor     float64
}

// Run simulates a scenario with a variant. The random generator is seeded with the
// seed of the scenario and the given seed, so that a scenario can be run again with
// other random numbers.
func Run(s Scenario, v Variant, seed uint64) *Result {
	m := newModel(s, seed)
	for _, name := range slices.Sorted(maps.Keys(m.zones)) {
		z := m.zones[name]
		for i := range z.Hosts {
			h := newHost(m, z, i, v.of(i, z.Hosts))
			z.hosts, z.all = append(z.hosts, h), append(z.all, h)
			m.hosts = append(m.hosts, h)
		}
	}
	m.result.Variant = v.Name
	m.schedule(s)
	m.clock.run()
	for _, name := range slices.Sorted(maps.Keys(m.upstreams)) {
		m.result.FirstLoads += m.upstreams[name].firstLoads
	}
	m.result.Spread.finish(m.byService)
	return m.result
}

func newModel(s Scenario, seed uint64) *Model {
	// The date is arbitrary; it only serves as the origin of virtual time.
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	m := &Model{
		random: rand.New(rand.NewPCG(s.Seed, seed)), start: start, end: start.Add(s.length()),
		delay:   delays{client: time.Duration(s.Delay.Client), zone: time.Duration(s.Delay.Zone), region: time.Duration(s.Delay.Region)},
		limits:  retry.Limits{Ratio: s.Retries.Ratio, Window: cmp.Or(time.Duration(s.Retries.Window), defaultWindow), Slack: s.Retries.Slack},
		regions: map[string]bool{}, zones: map[string]*zoneState{}, upstreams: map[string]*upstreamSim{},
		byService: map[string][]*upstreamSim{}, entries: map[string][]*upstream.Upstream{}, result: newResult(),
	}
	m.clock.now = start
	for _, z := range s.Zones {
		m.zones[z.Name] = &zoneState{Zone: z, factor: 1}
		m.regions[z.Region] = true
		m.totalLoad += z.Load
	}
	for _, v := range s.Services {
		m.addUpstreams(v)
	}
	return m
}

// defaultWindow is the window of the retry budget if a scenario sets none.
const defaultWindow = 10 * time.Second

// addUpstreams creates the upstreams of a service.
func (m *Model) addUpstreams(v Service) {
	for _, zone := range slices.Sorted(maps.Keys(v.Upstreams)) {
		for i := range v.Upstreams[zone] {
			id := v.Name + "-" + zone + "-" + strconv.Itoa(i)
			entry := &upstream.Upstream{Registration: upstream.Registration{
				ID: id, Service: v.Name, Zone: zone, Region: m.zones[zone].Region, Capacity: v.Slots,
			}}
			u := &upstreamSim{model: m, entry: entry, config: v, slow: 1}
			m.upstreams[id] = u
			m.byService[v.Name] = append(m.byService[v.Name], u)
			m.entries[v.Name] = append(m.entries[v.Name], entry)
		}
	}
}

// schedule schedules the arrivals, heartbeats and faults.
func (m *Model) schedule(s Scenario) {
	for i := range s.Routes {
		for _, name := range slices.Sorted(maps.Keys(m.zones)) {
			if z := m.zones[name]; len(z.hosts) > 0 && z.Load > 0 {
				src := &source{model: m, route: &s.Routes[i], zone: z, random: rand.New(rand.NewPCG(m.random.Uint64(), m.random.Uint64()))}
				src.next()
			}
		}
	}
	m.scheduleRollouts(s.Rollouts)
	for _, h := range m.hosts {
		m.clock.every(heartbeatInterval, m.end, h.heartbeat)
	}
	m.scheduleReports()
	for _, f := range s.Faults {
		m.clock.after(time.Duration(f.At), func() { m.setFault(f, true) })
		m.clock.after(time.Duration(f.At)+time.Duration(f.For), func() { m.setFault(f, false) })
	}
}

// scheduleReports schedules the exchange of load reports. The hosts send at different times,
// as hosts that started at different times do.
func (m *Model) scheduleReports() {
	for i, h := range m.hosts {
		if h.variant.ZoneReports {
			offset := heartbeatInterval * time.Duration(i) / time.Duration(len(m.hosts))
			m.clock.after(offset, func() { m.clock.every(heartbeatInterval, m.end, h.shareReports) })
		}
	}
}

// setFault starts or ends a fault.
func (m *Model) setFault(f Fault, starting bool) {
	switch f.Kind {
	case Burst:
		for _, z := range m.zones {
			if f.Zone == "" || f.Zone == z.Name {
				z.factor = pick(starting, f.Factor, 1)
			}
		}
	case Restart:
		if starting {
			for _, h := range m.hosts {
				h.restart()
			}
		}
	case HostsLost:
		for _, z := range m.zones {
			z.setLost(f.Fraction, starting)
		}
	default:
		upstreams := m.byService[f.Service]
		for _, u := range upstreams[:int(f.Fraction*float64(len(upstreams)))] {
			u.setFault(f, starting)
		}
	}
}

// setLost removes a fraction of the zone's hosts, or starts them again.
func (z *zoneState) setLost(fraction float64, starting bool) {
	lost := int(fraction * float64(len(z.all)))
	z.hosts = z.all
	if starting {
		z.hosts = z.all[lost:]
	}
	for _, h := range z.all[:lost] {
		h.lost = starting
		h.restart()
	}
}

// setFault starts or ends a fault of one upstream.
func (u *upstreamSim) setFault(f Fault, starting bool) {
	switch f.Kind {
	case Slow:
		u.slow = pick(starting, f.Factor, 1)
	case Shed:
		u.shed = pick(starting, f.Factor, 0)
	case Down:
		u.down = starting
	case Silent:
		u.silent = starting
	case Idle:
		u.idle = starting
	}
}

// pick returns yes if the condition is true, and no otherwise.
func pick(condition bool, yes, no float64) float64 {
	if condition {
		return yes
	}
	return no
}
