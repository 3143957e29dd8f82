package loadmodel

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/settings"
)

// Rollout is an order of another version of a service during a run. As many upstreams of the
// version start as the service has, in the same zones. Without Failing and SlowPart the version is
// good.
type Rollout struct {
	Service  string            `toml:"service"`
	At       settings.Duration `toml:"at"`
	Duration settings.Duration `toml:"duration"`
	// Failing and SlowPart are the fractions of the requests that fail, or take SlowFactor
	// times as long.
	Failing    float64 `toml:"failing"`
	SlowPart   float64 `toml:"slow_part"`
	SlowFactor float64 `toml:"slow_factor"`
	// From is the time after the order from which on the version is bad, Load the number of
	// requests at an upstream, and Route the only bad route; empty for all.
	From  settings.Duration `toml:"from"`
	Load  int               `toml:"load"`
	Route string            `toml:"bad_route"`
}

// Versions of a service in a run with a roll-out.
const (
	oldVersion = "v1"
	newVersion = "v2"
)

const (
	// changeDelay is the time from a write at the store until all hosts apply it.
	changeDelay = 150 * time.Millisecond
	// reportDelay is the time of a report to the host that collects those of a region.
	reportDelay = 50 * time.Millisecond
	// rolloutFraction and rolloutSlack are the bound of a bad version.
	rolloutFraction, rolloutSlack = 0.1, 50
	// badResponses is the number of bad responses after which a version may get requests for a
	// short time only.
	badResponses = 50
)

// check returns an error if the roll-out cannot be simulated.
func (r Rollout) check(services map[string]bool) error {
	switch {
	case !services[r.Service]:
		return eris.Errorf("rollout: service %q is not defined", r.Service)
	case r.Duration <= 0:
		return eris.Errorf("rollout of %s: duration must be above 0", r.Service)
	case r.Failing < 0 || r.SlowPart < 0 || r.Failing+r.SlowPart > 1:
		return eris.Errorf("rollout of %s: failing and slow_part must be from 0 to 1 together", r.Service)
	case r.SlowPart > 0 && r.SlowFactor <= 1:
		return eris.Errorf("rollout of %s: slow_factor must be above 1", r.Service)
	}
	return nil
}

// rolloutSim is one roll-out in a run: the store's record and the evidence of the regions.
type rolloutSim struct {
	Rollout
	model    *Model
	order    rollout.Order
	ordered  time.Time
	record   rollout.Record
	revision int64
	evidence map[string]rollout.RegionEvidence
	registry *upstream.Registry
	set      *upstream.Set
	result   *RolloutResult
}

// scheduleRollouts schedules the orders of a scenario. Before its order, a service has
// upstreams of the old version only.
func (m *Model) scheduleRollouts(orders []Rollout) {
	for i, r := range orders {
		sim := &rolloutSim{
			Rollout: r, model: m, evidence: map[string]rollout.RegionEvidence{}, set: &upstream.Set{},
			registry: upstream.NewRegistry(func(string) time.Duration { return 0 }), result: &RolloutResult{Service: r.Service},
		}
		sim.order = rollout.Order{Service: r.Service, Target: newVersion, Duration: time.Duration(r.Duration), Version: int64(i + 1)}
		m.rollouts = append(m.rollouts, sim)
		m.result.Rollouts = append(m.result.Rollouts, sim.result)
		for _, u := range m.byService[r.Service] {
			u.entry.SoftwareVersion = oldVersion
			u.rollout = sim
		}
		m.clock.after(time.Duration(r.At), sim.start)
	}
}

// start gives the order, and starts the upstreams of the new version.
func (r *rolloutSim) start() {
	m := r.model
	r.ordered = m.clock.now
	for _, u := range slices.Clone(m.byService[r.Service]) {
		entry := &upstream.Upstream{Registration: u.entry.Registration}
		entry.ID, entry.SoftwareVersion = u.entry.ID+"-"+newVersion, newVersion
		started := &upstreamSim{model: m, entry: entry, config: u.config, slow: 1, rollout: r}
		m.upstreams[entry.ID] = started
		m.byService[r.Service] = append(m.byService[r.Service], started)
	}
	for _, u := range m.byService[r.Service] {
		r.registry.Put(u.entry.Registration, m.clock.now)
	}
	r.use()
	for _, h := range m.hosts {
		h.orderRollouts()
		m.clock.every(rollout.ReportInterval, m.end, func() { h.controllers[r].Step(context.Background(), m.clock.now) })
	}
}

// use makes the registered upstreams those that hosts know.
func (r *rolloutSim) use() {
	r.set = r.registry.Set()
	r.model.entries[r.Service] = r.set.Service(r.Service)
}

// orderRollouts creates the host's tables of the roll-outs that were ordered. A restarted host has
// what the store has.
func (h *host) orderRollouts() {
	for _, r := range h.model.rollouts {
		if r.ordered.IsZero() || h.tables[r] != nil {
			continue
		}
		yes, no := func() bool { return true }, func() bool { return false }
		t := rollout.NewTable(rollout.TableOptions{
			HostID: h.id(), Fresh: yes, Isolated: no, Observer: discardRollouts{},
			InFlight: func(service, version string) int {
				return h.balancer.InFlight(func(u *upstream.Upstream) bool { return u.Service == service && u.SoftwareVersion != version })
			},
		})
		t.SetOrders(map[string]rollout.Order{r.Service: r.order})
		if r.revision > 0 {
			t.PutRecord(r.record)
		}
		h.tables[r] = t
		h.controllers[r] = rollout.NewController(rollout.ControllerOptions{
			Table: t, Store: r, Hosts: rolloutHost{h, r}, Region: h.zone.Region, Regions: h.model.regionNames(),
			Upstreams: func() *upstream.Set { return r.set }, MaxRequest: func(string) time.Duration { return 0 },
			Limits: rollout.Limits{Fraction: rolloutFraction, Slack: rolloutSlack},
		})
	}
}

// id identifies the host in confirmations.
func (h *host) id() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(h.name)) // never fails
	return hash.Sum64()
}

// discardRollouts is a rollout.Observer that does nothing, because the result has the record.
type discardRollouts struct{}

func (discardRollouts) RolloutOrdered(rollout.Order, bool)       {}
func (discardRollouts) RolloutChanged(rollout.Record)            {}
func (discardRollouts) RolloutWriteFailed(rollout.Record, error) {}
func (discardRollouts) RolloutNotReported(string, error)         {}

// rolloutHost is the rollout.Hosts of a host. The first host of a region collects its reports.
type rolloutHost struct {
	host    *host
	rollout *rolloutSim
}

// SendReport implements rollout.Hosts.
func (r rolloutHost) SendReport(_ context.Context, report rollout.Report) (rollout.Reply, bool, error) {
	m := r.host.model
	collector := m.hostsOf(r.host.zone.Region)[0]
	if collector == r.host {
		return nil, true, nil
	}
	m.clock.after(reportDelay, func() {
		reply := collector.tables[r.rollout].Receive(r.host.name, report, m.clock.now)
		m.clock.after(reportDelay, func() { r.host.tables[r.rollout].Apply(reply, m.clock.now) })
	})
	return rollout.Reply{}, false, nil
}

// AllConfirmed implements rollout.Hosts.
func (r rolloutHost) AllConfirmed(sum uint64) bool {
	var all uint64
	for _, h := range r.host.model.hostsOf(r.host.zone.Region) {
		all += h.id()
	}
	return sum == all
}

// Advance implements rollout.Store.
func (r *rolloutSim) Advance(_ context.Context, next rollout.Record, _ bool) error {
	if next.Revision != r.revision {
		return rollout.ErrConflict
	}
	r.revision++
	next.Revision = r.revision
	r.record = next
	r.model.clock.after(changeDelay, func() {
		for _, h := range r.model.hosts {
			h.tables[r].PutRecord(next)
		}
	})
	if next.Phase.Final() {
		r.end()
	}
	return nil
}

// PutEvidence implements rollout.Store.
func (r *rolloutSim) PutEvidence(_ context.Context, e rollout.RegionEvidence) error {
	r.evidence[e.Region] = e
	return nil
}

// Evidence implements rollout.Store.
func (r *rolloutSim) Evidence(context.Context) ([]rollout.RegionEvidence, error) {
	var all []rollout.RegionEvidence
	for _, region := range r.model.regionNames() {
		if e, known := r.evidence[region]; known {
			all = append(all, e)
		}
	}
	return all, nil
}

// Now implements rollout.Store.
func (r *rolloutSim) Now() (int64, bool) { return r.model.clock.now.UnixMilli(), true }

// chooseUpstream asks the balancer for an upstream, among those that the roll-out of the service
// allows.
func (req *request) chooseUpstream() (balance.Choice, balance.Reason) {
	q, b := req.query(), req.host.balancer
	r, table := req.host.tableOf(req.call.route)
	if table == nil {
		return b.Choose(q)
	}
	plan := table.Plan(r.Service, r.set)
	if plan == nil {
		return b.Choose(q)
	}
	preferred, fallback := plan.Candidates(q.Key, len(req.tried) == 0)
	q.Upstreams = preferred
	choice, reason := b.Choose(q)
	if reason == balance.Chosen || len(fallback) == 0 {
		return choice, reason
	}
	q.Upstreams = fallback
	return b.Choose(q)
}

// tableOf returns the roll-out of a route's service and the host's table of it; nil without one.
func (h *host) tableOf(route *Route) (*rolloutSim, *rollout.Table) {
	for _, r := range h.model.rollouts {
		if t := h.tables[r]; t != nil && r.Service == route.Service {
			return r, t
		}
	}
	return nil, nil
}

// countForRollout counts an attempt for the comparison of versions. key is that of the request.
func (a *attempt) countForRollout(key string) {
	_, table := a.request.host.tableOf(a.request.call.route)
	if table == nil {
		return
	}
	route := a.request.call.route
	a.rollout = table.Sent(route.Service, route.Name, a.choice.Upstream, true, a.startedAt)
	if len(a.request.tried) == 1 {
		a.rollout.CountKey(key)
	}
	if route.Objects > 0 {
		a.rollout.SetObject(key)
	}
}
