// Package routing holds a host's copy of the operator configuration and of the running
// upstreams. It owns that state and gives readers the current version of both without a
// lock. The rows come from package watch through two sinks; a Decoder decodes them.
//
// An invalid or outdated update never replaces valid state. If an operator's row can't be
// decoded, the last valid one stays in force. If an upstream's row can't be decoded, the
// upstream is not used until its row is valid again. An older configuration never replaces
// a newer one. An upstream whose entry lapsed while the store was unavailable is kept for
// upstream.LapseGrace.
package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/telemetry"
)

// Names of the watched tables in logs and metrics.
const (
	// OperatorTable is the operator's table.
	OperatorTable = "intent"
	// UpstreamTable is the upstreams' table.
	UpstreamTable = "upstream"
	// RolloutTable is the hosts' table of the progress of roll-outs.
	RolloutTable = "rollout"
)

// OperatorRow is one row of the operator's table: a configuration, a zone to evacuate or
// the order of a roll-out. Exactly one of them is set.
type OperatorRow struct {
	// Table is a complete configuration.
	Table *route.Table
	// Evacuate is the zone whose upstreams must receive no requests.
	Evacuate string
	// Rollout is an order, without the version of its row.
	Rollout *rollout.Order
}

// Decoder decodes rows of the watched tables.
type Decoder interface {
	// OperatorRow decodes a row of the operator's table.
	OperatorRow(key string, value []byte) (OperatorRow, error)
	// Upstream decodes a row of the upstreams' table.
	Upstream(key string, value []byte) (upstream.Registration, error)
	// Rollout decodes a row of the table of roll-outs, without the version of the row.
	Rollout(key string, value []byte) (rollout.Record, error)
}

// Rollouts receives the orders and the progress of roll-outs. *rollout.Table implements it.
type Rollouts interface {
	SetOrders(orders map[string]rollout.Order)
	PutRecord(r rollout.Record)
	StoreRestored()
}

// noRollouts implements Rollouts for hosts without roll-outs.
type noRollouts struct{}

func (noRollouts) SetOrders(map[string]rollout.Order) {}
func (noRollouts) PutRecord(rollout.Record)           {}
func (noRollouts) StoreRestored()                     {}

// State is the host's copy of the operator configuration and of the upstreams. All methods
// may be called concurrently.
type State struct {
	decoder Decoder
	log     *eventlog.Log
	metrics *telemetry.Metrics

	config    atomic.Pointer[route.Table]
	upstreams atomic.Pointer[upstream.Set]
	// synced is set once a full listing of the upstreams was applied, and rolloutsSynced
	// once one of the roll-outs was. ready is set once the host has been ready.
	synced, rolloutsSynced, ready atomic.Bool
	// ordered is set while a roll-out is ordered.
	ordered  atomic.Bool
	rollouts Rollouts
	// operatorVersion returns the version of this host's copy of the operator's table.
	operatorVersion func() watch.Version

	// mu is held by writers; readers use the pointers above.
	mu       sync.Mutex
	registry *upstream.Registry
	// evacuated holds the evacuated zones by the keys of their rows.
	evacuated map[string]string
	// held holds the keys of evacuations that a restored store has lost. They stay in
	// force until heldUntil so that their rows can be written again.
	held      map[string]bool
	heldUntil time.Time
	// orders holds the orders of roll-outs by the keys of their rows.
	orders map[string]rollout.Order
	// newVersions holds the rows of upstreams that are not used yet because of their
	// software version, and versions the versions of each service that are used.
	newVersions map[string]watch.Row
	versions    map[string]map[string]bool
}

// New returns the state of a host that has just started.
func New(d Decoder, log *eventlog.Log, m *telemetry.Metrics) *State {
	s := &State{
		decoder: d, log: log, metrics: m, evacuated: map[string]string{}, held: map[string]bool{},
		rollouts: noRollouts{}, orders: map[string]rollout.Order{},
		newVersions: map[string]watch.Row{}, versions: map[string]map[string]bool{},
	}
	s.registry = upstream.NewRegistry(s.warmUp)
	s.upstreams.Store(s.registry.Set())
	return s
}

// UseRollouts sets the receiver of orders and progress of roll-outs. operatorVersion returns
// the version of this host's copy of the operator's table. UseRollouts must be called before
// the state is used.
func (s *State) UseRollouts(r Rollouts, operatorVersion func() watch.Version) {
	s.rollouts, s.operatorVersion = r, operatorVersion
}

// warmUp returns how long an upstream of a service is cold after its start.
func (s *State) warmUp(service string) time.Duration {
	t := s.config.Load()
	if t == nil {
		return 0
	}
	return t.Service(service).WarmUp
}

// Config returns the configuration in force, or nil before the first one.
func (s *State) Config() *route.Table { return s.config.Load() }

// Limits returns the limits on clients that are in force; a zero value means no limit.
func (s *State) Limits() route.Limits {
	t := s.config.Load()
	if t == nil {
		return route.Limits{}
	}
	return t.Limits
}

// Upstreams returns the known upstreams.
func (s *State) Upstreams() *upstream.Set { return s.upstreams.Load() }

// Ready reports whether the host has the data that it needs to serve: a configuration, a
// full listing of the upstreams and, if a roll-out is ordered, its progress. Once ready, the
// state stays ready, even while the sources are unavailable.
func (s *State) Ready() bool {
	if s.ready.Load() {
		return true
	}
	ready := s.config.Load() != nil && s.synced.Load() && (!s.ordered.Load() || s.rolloutsSynced.Load())
	if ready {
		s.ready.Store(true)
	}
	return ready
}

// publish makes the registry's upstreams visible to readers. s.mu must be held.
func (s *State) publish() { s.upstreams.Store(s.registry.Set()) }

// decode decodes a row with read. It logs a row that can't be decoded, and reports whether
// the row was decoded.
func decode[T any](s *State, table string, row watch.Row, read func(key string, value []byte) (T, error)) (T, bool) {
	var decoded T
	value, err := row.Bytes()
	if err == nil {
		decoded, err = read(row.Key, value)
	}
	if err != nil {
		s.metrics.Count(`cairndock_bad_rows_total{table="` + table + `"}`)
		s.log.BadRow(table, row.Key, row.Version, err)
	}
	return decoded, err == nil
}

// sink applies changes of one table to a State.
type sink struct {
	state *State
	table string
	apply func(watch.Update)
}

// Apply applies changed rows.
func (s *sink) Apply(u watch.Update) { s.apply(u) }

// Late logs and counts changes that the host may have learned of late.
func (s *sink) Late(source string, age time.Duration, changes int) {
	s.state.metrics.Count(`cairndock_late_updates_total{table="` + s.table + `"}`)
	s.state.log.LateUpdate(s.table, source, age, changes)
}

// Lost logs and counts a source of the table that stopped responding.
func (s *sink) Lost(source string, err error) {
	s.state.metrics.Count(`cairndock_source_lost_total{table="` + s.table + `"}`)
	s.state.log.Lost(s.table+" source", source, err)
}

// Regained logs a source of the table that responds again after an outage.
func (s *sink) Regained(source string, after time.Duration) {
	s.state.log.Regained(s.table+" source", source, after)
}

// Refused logs and counts a listing of the table that is older than the known version.
func (s *sink) Refused(source string, listed, known watch.Version) {
	s.state.metrics.Count(`cairndock_listings_refused_total{table="` + s.table + `"}`)
	s.state.log.ListingRefused(s.table, source, listed, known)
}

// EraBegan logs that the store began another era.
func (s *sink) EraBegan(source string, listed, known watch.Version, u watch.Update) {
	s.state.log.EraBegan(s.table, source, listed, known, len(u.Rows), len(u.Reverted))
}
