// Package routing keeps what a host knows of the operators' configuration and
// of the upstreams that run, and gives readers the current version of both
// without a lock. It owns the state; packages watch and fleet bring the rows.
package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/telemetry"
)

// OperatorRow is one row of the operators' table: a configuration, or a zone
// to evacuate. Exactly one of the two is set.
type OperatorRow struct {
	Table    *route.Table
	Evacuate string
}

// Decoder reads rows in the product's words.
type Decoder interface {
	OperatorRow(key string, value []byte) (OperatorRow, error)
	Upstream(key string, value []byte) (upstream.Registration, error)
}

// State is what the host knows of the operators' configuration and of the
// upstreams that run. Readers take what is current without a lock.
type State struct {
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

// New makes the state of a host that has just started.
func New(d Decoder, log *eventlog.Log, m *telemetry.Metrics) *State {
	s := &State{decoder: d, log: log, metrics: m, evacuated: map[string]string{}}
	s.registry = upstream.NewRegistry(s.warmUp)
	s.set.Store(s.registry.Set())
	return s
}

func (s *State) warmUp(service string) time.Duration {
	t := s.table.Load()
	if t == nil {
		return 0
	}
	return t.Service(service).WarmUp
}

// Table is the configuration in force, or nil.
func (s *State) Table() *route.Table { return s.table.Load() }

// Limits are what callers are held to now; zero values are no limits.
func (s *State) Limits() route.Limits {
	t := s.table.Load()
	if t == nil {
		return route.Limits{}
	}
	return t.Limits
}

// Set is the upstreams known.
func (s *State) Set() *upstream.Set { return s.set.Load() }

// Ready reports whether the host knows enough to serve.
func (s *State) Ready() bool {
	return s.table.Load() != nil && s.seeded.Load()
}

// adopt puts a configuration in force unless a newer one is.
func (s *State) adopt(t *route.Table) {
	if old := s.table.Load(); old != nil && t.Version <= old.Version {
		return
	}
	s.table.Store(t)
	s.log.Config(t.Version, t.Routes())
}

// publish gives readers the upstreams as they are known now; s.mu is held.
func (s *State) publish() { s.set.Store(s.registry.Set()) }
