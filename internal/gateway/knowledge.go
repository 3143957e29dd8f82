package gateway

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/event"
	"cairndock/internal/instance"
	"cairndock/internal/route"
	"cairndock/internal/telemetry"
	"cairndock/internal/watch"
)

// Intent is one thing that operators want: a configuration, or a zone that
// is to receive nothing. Exactly one of the two is set.
type Intent struct {
	Table    *route.Table
	Evacuate string
}

// Knowledge is what the host knows of operators' intent and of the upstreams
// that run. Readers take what is current without a lock.
type Knowledge struct {
	log     *event.Log
	metrics *telemetry.Metrics

	table atomic.Pointer[route.Table]
	set   atomic.Pointer[instance.Set]

	mu        sync.Mutex
	registry  *instance.Registry
	evacuated map[string]string // record's key to zone
}

// NewKnowledge makes the knowledge of a host that has just started.
func NewKnowledge(log *event.Log, m *telemetry.Metrics) *Knowledge {
	k := &Knowledge{log: log, metrics: m, evacuated: map[string]string{}}
	k.registry = instance.NewRegistry(k.warmUp)
	k.set.Store(k.registry.Set())
	return k
}

func (k *Knowledge) warmUp(service string) time.Duration {
	t := k.table.Load()
	if t == nil {
		return 0
	}
	return t.Service(service).WarmUp
}

// Table is the configuration in force, or nil.
func (k *Knowledge) Table() *route.Table { return k.table.Load() }

// Set is the upstreams known.
func (k *Knowledge) Set() *instance.Set { return k.set.Load() }

// Ready reports whether the host knows enough to serve.
func (k *Knowledge) Ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Load() != nil && k.registry.Seeded()
}

// adopt puts a configuration in force unless a newer one is.
func (k *Knowledge) adopt(t *route.Table) {
	if old := k.table.Load(); old != nil && t.Version <= old.Version {
		return
	}
	k.table.Store(t)
	k.log.Config(t.Version, t.Routes())
}

// publish gives readers the upstreams as they are known now; k.mu is held.
func (k *Knowledge) publish() { k.set.Store(k.registry.Set()) }

// Intents takes what operators want.
type Intents struct {
	Knowledge *Knowledge
}

// Replace takes everything that operators want.
func (i Intents) Replace(records []watch.Record[Intent], version int64) {
	k := i.Knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	evacuated := map[string]string{}
	for _, r := range records {
		if r.Fault != nil {
			k.fault("intent", r.Key, r.Version, r.Fault)
			if zone, ok := k.evacuated[r.Key]; ok {
				evacuated[r.Key] = zone
			}
			continue
		}
		if r.Value.Table != nil {
			k.adopt(r.Value.Table)
			continue
		}
		evacuated[r.Key] = r.Value.Evacuate
	}
	k.evacuate(evacuated, version)
}

// Apply takes changes of what operators want.
func (i Intents) Apply(records []watch.Record[Intent], version int64) {
	k := i.Knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	evacuated := maps.Clone(k.evacuated)
	for _, r := range records {
		switch {
		case r.Fault != nil:
			k.fault("intent", r.Key, r.Version, r.Fault)
		case r.Gone:
			delete(evacuated, r.Key)
		case r.Value.Table != nil:
			k.adopt(r.Value.Table)
		default:
			evacuated[r.Key] = r.Value.Evacuate
		}
	}
	k.evacuate(evacuated, version)
}

func (k *Knowledge) evacuate(by map[string]string, version int64) {
	if maps.Equal(by, k.evacuated) {
		return
	}
	k.evacuated = by
	zones := map[string]bool{}
	for _, zone := range by {
		zones[zone] = true
	}
	k.registry.Evacuate(zones, time.Now())
	k.publish()
	k.log.Evacuated(slices.Sorted(maps.Keys(zones)), version)
}

func (k *Knowledge) fault(source, key string, version int64, err error) {
	k.metrics.Count(`cairndock_bad_records_total{source="` + source + `"}`)
	k.log.BadRecord(source, key, version, err)
}

// Lost says that the source stopped answering.
func (i Intents) Lost(err error) { i.Knowledge.lost("intent", err) }

// Regained says that the source answers again.
func (i Intents) Regained(after time.Duration) { i.Knowledge.regained("intent", after) }

func (k *Knowledge) lost(name string, err error) {
	k.metrics.Count(`cairndock_source_lost_total{source="` + name + `"}`)
	k.log.Lost("source", name, err)
}

func (k *Knowledge) regained(name string, after time.Duration) {
	k.log.Regained("source", name, after)
}

// Upstreams takes which upstreams run.
type Upstreams struct {
	Knowledge *Knowledge
}

// Replace takes all upstreams that run.
func (u Upstreams) Replace(records []watch.Record[instance.Instance], _ int64) {
	k := u.Knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]instance.Instance, 0, len(records))
	for _, r := range records {
		if r.Fault == nil {
			list = append(list, r.Value)
			continue
		}
		k.fault("upstream", r.Key, r.Version, r.Fault)
		if old, ok := k.set.Load().Get(r.Key); ok {
			list = append(list, old.Instance)
		}
	}
	k.registry.Replace(list, time.Now())
	k.publish()
}

// Apply takes changes of which upstreams run.
func (u Upstreams) Apply(records []watch.Record[instance.Instance], _ int64) {
	k := u.Knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, r := range records {
		switch {
		case r.Fault != nil:
			k.fault("upstream", r.Key, r.Version, r.Fault)
		case r.Gone:
			k.registry.Remove(r.Key)
			k.log.Upstream(r.Key, "", "", "gone", r.Version, 0)
		default:
			k.registry.Put(r.Value, now)
			k.log.Upstream(r.Key, r.Value.Service, r.Value.Zone, stateName(r.Value), r.Version, r.Value.ColdLeft)
		}
	}
	k.publish()
}

func stateName(in instance.Instance) string {
	if in.Draining {
		return "draining"
	}
	return "ready"
}

// Lost says that the source stopped answering.
func (u Upstreams) Lost(err error) { u.Knowledge.lost("upstream", err) }

// Regained says that the source answers again.
func (u Upstreams) Regained(after time.Duration) { u.Knowledge.regained("upstream", after) }
