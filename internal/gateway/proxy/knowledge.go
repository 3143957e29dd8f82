package proxy

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/telemetry"
)

// Intent is one thing that operators want: a configuration, or a zone that
// is to receive nothing. Exactly one of the two is set.
type Intent struct {
	Table    *route.Table
	Evacuate string
}

// Decoder reads rows in the product's words.
type Decoder interface {
	Intent(key string, value []byte) (Intent, error)
	Instance(key string, value []byte) (upstream.Instance, error)
}

// Knowledge is what the host knows of operators' intent and of the upstreams
// that run. Readers take what is current without a lock.
type Knowledge struct {
	decoder Decoder
	log     *eventlog.Log
	metrics *telemetry.Metrics

	table atomic.Pointer[route.Table]
	set   atomic.Pointer[upstream.Set]
	// seeded says that all upstreams were read once.
	seeded atomic.Bool

	mu        sync.Mutex
	registry  *upstream.Registry
	evacuated map[string]string // row's key to zone
}

// NewKnowledge makes the knowledge of a host that has just started.
func NewKnowledge(d Decoder, log *eventlog.Log, m *telemetry.Metrics) *Knowledge {
	k := &Knowledge{decoder: d, log: log, metrics: m, evacuated: map[string]string{}}
	k.registry = upstream.NewRegistry(k.warmUp)
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

// Limits are what callers are held to now; zero values are no limits.
func (k *Knowledge) Limits() route.Limits {
	t := k.table.Load()
	if t == nil {
		return route.Limits{}
	}
	return t.Limits
}

// Set is the upstreams known.
func (k *Knowledge) Set() *upstream.Set { return k.set.Load() }

// Ready reports whether the host knows enough to serve.
func (k *Knowledge) Ready() bool {
	return k.table.Load() != nil && k.seeded.Load()
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

// Apply takes changes of what operators want.
func (i Intents) Apply(u watch.Update) {
	k := i.Knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	evacuated := maps.Clone(k.evacuated)
	version := int64(0)
	for _, r := range u.Rows {
		version = max(version, r.Version)
		if r.Gone {
			delete(evacuated, r.Key)
			continue
		}
		intent, err := k.readIntent(r)
		switch {
		case err != nil:
			k.fault("intent", r, err)
		case intent.Table != nil:
			k.adopt(intent.Table)
		default:
			evacuated[r.Key] = intent.Evacuate
		}
	}
	k.evacuate(evacuated, version)
}

func (k *Knowledge) readIntent(r watch.Row) (Intent, error) {
	value, err := r.Bytes()
	if err != nil {
		return Intent{}, err
	}
	return k.decoder.Intent(r.Key, value)
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

// fault notes a row that can't be read; the last good one stays.
func (k *Knowledge) fault(table string, r watch.Row, err error) {
	k.metrics.Count(`cairndock_bad_rows_total{table="` + table + `"}`)
	k.log.BadRow(table, r.Key, r.Version, err)
}

// Lost says that a source stopped answering.
func (i Intents) Lost(source string, err error) { i.Knowledge.lost("intent", source, err) }

// Regained says that a source answers again.
func (i Intents) Regained(source string, after time.Duration) {
	i.Knowledge.log.Regained("intent source", source, after)
}

func (k *Knowledge) lost(table, source string, err error) {
	k.metrics.Count(`cairndock_source_lost_total{table="` + table + `"}`)
	k.log.Lost(table+" source", source, err)
}

// Upstreams takes which upstreams run.
type Upstreams struct {
	Knowledge *Knowledge
}

// Apply takes changes of which upstreams run.
func (u Upstreams) Apply(update watch.Update) {
	k := u.Knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	lapsed := false
	for _, r := range update.Rows {
		lapsed = k.upstream(r, now, update.Returned) || lapsed
	}
	if lapsed {
		time.AfterFunc(update.Returned.Add(upstream.LapseGrace).Sub(now), k.expire)
	}
	first := update.Whole && !k.seeded.Load()
	if first {
		k.registry.Seed()
	}
	k.publish()
	if first {
		k.seeded.Store(true)
	}
}

// expire forgets the upstreams whose entries lapsed and did not come back.
func (k *Knowledge) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, in := range k.registry.Expire(time.Now()) {
		k.log.Upstream(in.ID, in, "gone, entry did not come back", 0)
	}
	k.publish()
}

// upstream takes over one row; k.mu is held. It reports whether the upstream's
// entry lapsed and it is kept for now.
func (k *Knowledge) upstream(r watch.Row, now, returned time.Time) (lapsed bool) {
	if r.Gone {
		lapsed = k.registry.Remove(r.Key, now, returned)
		state := "gone"
		if lapsed {
			state = "entry lapsed"
		}
		k.log.Upstream(r.Key, upstream.Instance{}, state, r.Version)
		return lapsed
	}
	value, err := r.Bytes()
	if err != nil {
		k.fault("upstream", r, err)
		return false
	}
	in, err := k.decoder.Instance(r.Key, value)
	if err != nil {
		k.fault("upstream", r, err)
		return false
	}
	k.registry.Put(in, now)
	state := "ready"
	if in.Draining {
		state = "draining"
	}
	if k.seeded.Load() {
		k.log.Upstream(r.Key, in, state, r.Version)
	}
	return false
}

// Lost says that a source stopped answering.
func (u Upstreams) Lost(source string, err error) { u.Knowledge.lost("upstream", source, err) }

// Regained says that a source answers again.
func (u Upstreams) Regained(source string, after time.Duration) {
	u.Knowledge.log.Regained("upstream source", source, after)
}
