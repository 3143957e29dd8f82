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
type OperatorRow struct {
	Table    *route.Table
	Evacuate string
}

// Decoder reads rows in the product's words.
type Decoder interface {
	OperatorRow(key string, value []byte) (OperatorRow, error)
	Upstream(key string, value []byte) (upstream.Registration, error)
}

// Knowledge is what the host knows of operators' intent and of the upstreams
// that run. Readers take what is current without a lock.
type RoutingState struct {
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
func NewRoutingState(d Decoder, log *eventlog.Log, m *telemetry.Metrics) *RoutingState {
	k := &RoutingState{decoder: d, log: log, metrics: m, evacuated: map[string]string{}}
	k.registry = upstream.NewRegistry(k.warmUp)
	k.set.Store(k.registry.Set())
	return k
}

func (k *RoutingState) warmUp(service string) time.Duration {
	t := k.table.Load()
	if t == nil {
		return 0
	}
	return t.Service(service).WarmUp
}

// Table is the configuration in force, or nil.
func (k *RoutingState) Table() *route.Table { return k.table.Load() }

// Limits are what callers are held to now; zero values are no limits.
func (k *RoutingState) Limits() route.Limits {
	t := k.table.Load()
	if t == nil {
		return route.Limits{}
	}
	return t.Limits
}

// Set is the upstreams known.
func (k *RoutingState) Set() *upstream.Set { return k.set.Load() }

// Ready reports whether the host knows enough to serve.
func (k *RoutingState) Ready() bool {
	return k.table.Load() != nil && k.seeded.Load()
}

// adopt puts a configuration in force unless a newer one is.
func (k *RoutingState) adopt(t *route.Table) {
	if old := k.table.Load(); old != nil && t.Version <= old.Version {
		return
	}
	k.table.Store(t)
	k.log.Config(t.Version, t.Routes())
}

// publish gives readers the upstreams as they are known now; k.mu is held.
func (k *RoutingState) publish() { k.set.Store(k.registry.Set()) }

// Intents takes what operators want.
type OperatorSink struct {
	State *RoutingState
}

// Apply takes changes of what operators want.
func (i OperatorSink) Apply(u watch.Update) {
	k := i.State
	k.mu.Lock()
	defer k.mu.Unlock()
	evacuated := maps.Clone(k.evacuated)
	version := int64(0)
	for _, r := range u.Rows {
		version = max(version, r.Version)
		if r.Deleted {
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

func (k *RoutingState) readIntent(r watch.Row) (OperatorRow, error) {
	value, err := r.Bytes()
	if err != nil {
		return OperatorRow{}, err
	}
	return k.decoder.OperatorRow(r.Key, value)
}

func (k *RoutingState) evacuate(by map[string]string, version int64) {
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
func (k *RoutingState) fault(table string, r watch.Row, err error) {
	k.metrics.Count(`cairndock_bad_rows_total{table="` + table + `"}`)
	k.log.BadRow(table, r.Key, r.Version, err)
}

// Lost says that a source stopped answering.
func (i OperatorSink) Lost(source string, err error) { i.State.lost("intent", source, err) }

// Regained says that a source answers again.
func (i OperatorSink) Regained(source string, after time.Duration) {
	i.State.log.Regained("intent source", source, after)
}

func (k *RoutingState) lost(table, source string, err error) {
	k.metrics.Count(`cairndock_source_lost_total{table="` + table + `"}`)
	k.log.Lost(table+" source", source, err)
}

// Upstreams takes which upstreams run.
type UpstreamSink struct {
	State *RoutingState
}

// Apply takes changes of which upstreams run.
func (u UpstreamSink) Apply(update watch.Update) {
	k := u.State
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	lapsed := false
	for _, r := range update.Rows {
		lapsed = k.upstream(r, now, update.StoreReturned) || lapsed
	}
	if lapsed {
		time.AfterFunc(update.StoreReturned.Add(upstream.LapseGrace).Sub(now), k.expire)
	}
	first := update.Full && !k.seeded.Load()
	if first {
		k.registry.Seed()
	}
	k.publish()
	if first {
		k.seeded.Store(true)
	}
}

// expire forgets the upstreams whose entries lapsed and did not come back.
func (k *RoutingState) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, in := range k.registry.Expire(time.Now()) {
		k.log.Upstream(in.ID, in, "gone, entry did not come back", 0)
	}
	k.publish()
}

// upstream takes over one row; k.mu is held. It reports whether the upstream's
// entry lapsed and it is kept for now.
func (k *RoutingState) upstream(r watch.Row, now, returned time.Time) (lapsed bool) {
	if r.Deleted {
		lapsed = k.registry.Remove(r.Key, now, returned)
		state := "gone"
		if lapsed {
			state = "entry lapsed"
		}
		k.log.Upstream(r.Key, upstream.Registration{}, state, r.Version)
		return lapsed
	}
	value, err := r.Bytes()
	if err != nil {
		k.fault("upstream", r, err)
		return false
	}
	in, err := k.decoder.Upstream(r.Key, value)
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
func (u UpstreamSink) Lost(source string, err error) { u.State.lost("upstream", source, err) }

// Regained says that a source answers again.
func (u UpstreamSink) Regained(source string, after time.Duration) {
	u.State.log.Regained("upstream source", source, after)
}
