// Package routing keeps what a host knows of the operator configuration and of
// the running upstreams. It owns that state and gives readers the current
// version of both without a lock. The rows come from package watch, by two
// sinks; a Decoder reads them.
//
// The state never becomes worse by an update: an operator's row that can't be
// decoded leaves the last good one in place, an upstream's is not used until its row
// can be read, an older configuration never replaces a newer one, and an upstream whose entry lapsed while the store was away stays
// for upstream.LapseGrace.
package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/telemetry"
)

// The names of the watched tables in logs and metrics.
const (
	// OperatorTable is the operators' table.
	OperatorTable = "intent"
	// UpstreamTable is the upstreams' table.
	UpstreamTable = "upstream"
)

// OperatorRow is one row of the operators' table: a configuration, or a zone to
// evacuate. Exactly one of the two is set.
type OperatorRow struct {
	// Table is a whole configuration.
	Table *route.Table
	// Evacuate is a zone whose upstreams are to receive nothing.
	Evacuate string
}

// Decoder reads rows of the watched tables.
type Decoder interface {
	// OperatorRow reads a row of the operators' table.
	OperatorRow(key string, value []byte) (OperatorRow, error)
	// Upstream reads a row of the upstreams' table.
	Upstream(key string, value []byte) (upstream.Registration, error)
}

// State is the operator configuration and the upstreams, as far as the host
// knows them. All methods may be called concurrently.
type State struct {
	decoder Decoder
	log     *eventlog.Log
	metrics *telemetry.Metrics

	config    atomic.Pointer[route.Table]
	upstreams atomic.Pointer[upstream.Set]
	// synced is set once all upstreams were read.
	synced atomic.Bool

	// mu is held by writers; readers use the pointers above.
	mu       sync.Mutex
	registry *upstream.Registry
	// evacuated has the zone of each row that asks for an evacuation, by the
	// row's key.
	evacuated map[string]string
	// held has the keys of those that the store lost and that may be written again, until
	// heldUntil.
	held      map[string]bool
	heldUntil time.Time
}

// New makes the state of a host that has just started.
func New(d Decoder, log *eventlog.Log, m *telemetry.Metrics) *State {
	s := &State{decoder: d, log: log, metrics: m, evacuated: map[string]string{}, held: map[string]bool{}}
	s.registry = upstream.NewRegistry(s.warmUp)
	s.upstreams.Store(s.registry.Set())
	return s
}

// warmUp is how long an upstream of a service is cold after its start.
func (s *State) warmUp(service string) time.Duration {
	t := s.config.Load()
	if t == nil {
		return 0
	}
	return t.Service(service).WarmUp
}

// Config is the configuration in force, or nil before the first.
func (s *State) Config() *route.Table { return s.config.Load() }

// Limits are the limits on clients in force; zero values are no limits.
func (s *State) Limits() route.Limits {
	t := s.config.Load()
	if t == nil {
		return route.Limits{}
	}
	return t.Limits
}

// Upstreams is the upstreams known.
func (s *State) Upstreams() *upstream.Set { return s.upstreams.Load() }

// Ready reports whether the host knows enough to serve: a configuration, and
// all upstreams by one full reading. Once ready it stays so, also while the
// sources are lost.
func (s *State) Ready() bool {
	return s.config.Load() != nil && s.synced.Load()
}

// publish gives readers the upstreams as the registry has them; s.mu is held.
func (s *State) publish() { s.upstreams.Store(s.registry.Set()) }

// decode decodes a row by read. It logs a row that can't be decoded, and reports
// whether it could.
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

// Lost logs and counts a source of the table that stopped responding.
func (s *sink) Lost(source string, err error) {
	s.state.metrics.Count(`cairndock_source_lost_total{table="` + s.table + `"}`)
	s.state.log.Lost(s.table+" source", source, err)
}

// Regained logs a source of the table that responds again.
func (s *sink) Regained(source string, after time.Duration) {
	s.state.log.Regained(s.table+" source", source, after)
}

// Refused logs and counts a listing of the table that was older than what is known.
func (s *sink) Refused(source string, listed, known watch.Version) {
	s.state.metrics.Count(`cairndock_listings_refused_total{table="` + s.table + `"}`)
	s.state.log.ListingRefused(s.table, source, listed, known)
}

// EraBegan logs that the store was found in another era.
func (s *sink) EraBegan(source string, listed, known watch.Version, u watch.Update) {
	s.state.log.EraBegan(s.table, source, listed, known, len(u.Rows), len(u.Reverted))
}
