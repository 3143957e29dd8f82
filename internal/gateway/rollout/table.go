package rollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/upstream"
)

// Observer logs what happens to roll-outs.
type Observer interface {
	// RolloutOrdered is called when an order is first seen, or when it was deleted.
	RolloutOrdered(o Order, withdrawn bool)
	// RolloutChanged is called when the progress of a roll-out changes on this host.
	RolloutChanged(r Record)
	// RolloutWriteFailed is called when a change could not be stored.
	RolloutWriteFailed(r Record, err error)
	// RolloutNotReported is called when this host could not pass on what it observed: its
	// "report" to another host, or the "evidence" of its region to the store.
	RolloutNotReported(what string, err error)
}

// TableOptions are the dependencies of a Table.
type TableOptions struct {
	// HostID identifies the process of this host.
	HostID uint64
	// Fresh reports whether the host's copies of the orders and of the records are
	// recent, and Isolated whether it also has no contact to most other hosts.
	Fresh, Isolated func() bool
	// LostPath reports whether the host had no path to any upstream at some time since then;
	// nil if that is not known.
	LostPath func(since time.Time) bool
	// InFlight returns the number of requests in flight at the upstreams of a service
	// that have other versions than the given one.
	InFlight func(service, version string) int
	Observer Observer
}

// Table is a host's copy of the orders and of the progress of roll-outs. It plans which
// upstreams get requests, and collects evidence. It is safe for concurrent use.
type Table struct {
	options TableOptions
	// inUse is set once there was an order, so that hosts without roll-outs pay nothing.
	inUse atomic.Bool

	mu       sync.Mutex
	orders   map[string]Order
	services map[string]*serviceState
	reports  reports
	// onOrder is called when the first order is seen.
	onOrder func()
}

// NewTable returns a table without orders.
func NewTable(o TableOptions) *Table {
	return &Table{options: o, orders: map[string]Order{}, services: map[string]*serviceState{}, onOrder: func() {}}
}

// OnFirstOrder sets a function that is called when the first order is seen. It must be
// called before the table is used.
func (t *Table) OnFirstOrder(f func()) { t.onOrder = f }

// SetOrders replaces the orders in force.
func (t *Table) SetOrders(orders map[string]Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, o := range orders {
		if old, known := t.orders[service]; !known || !old.isSame(o) {
			t.options.Observer.RolloutOrdered(o, false)
		}
	}
	for service, o := range t.orders {
		if _, known := orders[service]; !known {
			t.options.Observer.RolloutOrdered(o, true)
		}
	}
	t.orders = maps.Clone(orders)
	for service := range orders {
		t.update(service)
	}
	for service := range t.services {
		t.update(service)
	}
	if len(orders) > 0 && !t.inUse.Swap(true) {
		t.onOrder()
	}
}

// newObserver returns an observer of the attempts of this host.
func (t *Table) newObserver(o Order) *observer {
	observer := newObserver(o)
	if t.options.LostPath != nil {
		observer.lost = t.options.LostPath
	}
	return observer
}

// update derives the state of a service from its order; t.mu is held.
func (t *Table) update(service string) {
	s := t.services[service]
	o, ordered := t.orders[service]
	if s == nil {
		if !ordered {
			return
		}
		s = &serviceState{record: newRecord(o, nil, 0), unsaved: true, observer: t.newObserver(o)}
		t.services[service] = s
		return
	}
	s.plan = nil
	s.withdrawn = !ordered
	if !ordered || s.record.isSame(o) {
		return
	}
	if s.stored != nil && s.stored.isSame(o) {
		s.replace(*s.stored, false)
		return
	}
	s.replace(newRecord(o, &s.record, 0), true)
}

// PutRecord applies a record that the store has.
func (t *Table) PutRecord(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse.Store(true)
	o, ordered := t.orders[r.Service]
	s := t.services[r.Service]
	if s == nil {
		s = &serviceState{record: r, stored: &r, observer: t.newObserver(r.Order), withdrawn: !ordered}
		t.services[r.Service] = s
		t.options.Observer.RolloutChanged(r)
		t.update(r.Service)
		return
	}
	if !s.unsaved && s.stored != nil && r.Revision <= s.stored.Revision {
		return // a late row
	}
	s.stored = &r
	switch {
	case ordered && !r.isSame(o):
		// It is of an earlier order, or of one that this host has not seen yet.
		s.record.Revision, s.unsaved = r.Revision, true
	case s.record.isSame(r.Order) && !r.mayFollow(s.record):
		// The store was restored from an older copy. The known record replaces it.
		s.record.Revision, s.unsaved = r.Revision, true
	default:
		s.replace(r, false)
		t.options.Observer.RolloutChanged(r)
	}
}

// StoreRestored is called when the store was restored from an older copy, before the
// records that it contains are put. Revisions are assigned again.
func (t *Table) StoreRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.stored, s.record.Revision, s.unsaved = nil, 0, true
	}
}

// Plan returns the plan for the requests of a service, given the upstreams that may get
// work; nil if no roll-out applies to the service.
func (t *Table) Plan(service string, set *upstream.Set) *Plan {
	if !t.inUse.Load() {
		return nil
	}
	fresh := t.options.Fresh()
	isolated := !fresh && t.options.Isolated()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return nil
	}
	if isolated && !s.record.Phase.Final() && !s.withdrawn {
		// The upstreams of either version may be stopped without this host learning it.
		return &Plan{phase: s.record.Phase, order: s.record.Order}
	}
	return s.planFor(set.Service(service), s.isCautious(fresh, time.Now()))
}

// Sent records an attempt that was sent to an upstream. comparable is set if its latency
// may be compared with that of others. The result is nil if no roll-out is running.
func (t *Table) Sent(service, route string, u *upstream.Upstream, comparable bool, now time.Time) *Attempt {
	if !t.inUse.Load() {
		return nil
	}
	t.mu.Lock()
	s := t.services[service]
	running := s != nil && !s.record.Phase.Final()
	t.mu.Unlock()
	if !running {
		return nil
	}
	return s.observer.start(route, u, comparable, now)
}

// running returns the services whose roll-outs have not ended, sorted.
func (t *Table) running() []string {
	if !t.inUse.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var services []string
	for service, s := range t.services {
		if !s.record.Phase.Final() || s.unsaved {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Running returns the number of roll-outs that have not ended.
func (t *Table) Running() int { return len(t.running()) }

// progress returns the record of a service and whether its order was withdrawn. unsaved is
// set if the store does not have the record.
func (t *Table) progress(service string) (r Record, withdrawn, unsaved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return Record{Phase: RolledBack}, false, false
	}
	return s.record, s.withdrawn, s.unsaved
}
