// Package services holds what a host knows and uses of each service: the
// slots it holds at the service's upstreams, and the choice of zones.
//
// It owns the gates and the deciders. Slots are given to it by the host's
// rosters, and reports of other zones by heartbeats.
package services

import (
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/shift"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/steer"
)

// Service is one service's state on this host.
type Service struct {
	name string
	// Gate admits requests to the slots that this host holds.
	Gate *slot.Gate

	mu      sync.Mutex
	decider *steer.Decider
	adopted bool // the shares of another host
}

// Decide runs f on the service's choice of zones, which it must not keep. No
// other lock may be taken in f but the gate's.
func (s *Service) Decide(f func(d *steer.Decider)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.decider)
}

// Usage gives the service's slots held and taken here, and the usual latency
// of its upstreams.
func (s *Service) Usage() (held, out int, latency time.Duration) {
	s.Gate.Do(func(p *slot.Pool) {
		held, out = p.Usage()
		latency = p.Latency()
	})
	return held, out, latency
}

// Free gives the service's slots as they are reported to other hosts.
func (s *Service) Free() member.ServiceSlots {
	load := s.Gate.Load()
	return member.ServiceSlots{Service: s.name, Free: load.Free, Held: load.Held, Warm: load.Warm}
}

// Set is all services that this host has ever had a configuration of.
type Set struct {
	view     func() *config.View
	random   func() float64
	services sync.Map // name to *Service
	leaving  atomic.Bool
}

// NewSet makes a Set of the services of a changing view. Random gives random
// numbers in [0, 1); it is used by many goroutines at once.
func NewSet(view func() *config.View, random func() float64) *Set {
	return &Set{view: view, random: random}
}

// Get gives a service's state, making it when it is new.
func (s *Set) Get(name string) *Service {
	if svc, ok := s.services.Load(name); ok {
		return svc.(*Service)
	}
	meter := shift.NewMeter(s.random, time.Now())
	svc, _ := s.services.LoadOrStore(name, &Service{name: name, Gate: slot.NewGate(), decider: steer.New(meter)})
	if s.leaving.Load() {
		svc.(*Service).Gate.Leave()
	}
	return svc.(*Service)
}

// Leave has the gates of all services, also of new ones, say that the host is leaving
// once it holds no slots.
func (s *Set) Leave() {
	s.leaving.Store(true)
	for _, svc := range s.All() {
		svc.Gate.Leave()
	}
}

// All gives every service by its name, those that are no longer configured
// included.
func (s *Set) All() iter.Seq2[string, *Service] {
	return func(yield func(string, *Service) bool) {
		s.services.Range(func(name, svc any) bool { return yield(name.(string), svc.(*Service)) })
	}
}

// Free gives the slots of each configured service.
func (s *Set) Free() []member.ServiceSlots {
	var out []member.ServiceSlots
	for _, svc := range s.view().Services() {
		out = append(out, s.Get(svc.Name).Free())
	}
	return out
}

// Outstanding counts the slots that are taken now.
func (s *Set) Outstanding() int {
	out := 0
	for _, svc := range s.All() {
		out += svc.Gate.Load().Outstanding
	}
	return out
}

// Within reports whether only slots are taken that this host holds.
func (s *Set) Within() bool {
	ok := true
	for _, svc := range s.All() {
		svc.Gate.Do(func(p *slot.Pool) { ok = p.WithinHeld() })
		if !ok {
			break
		}
	}
	return ok
}

// Shares gives the present share of each rule of the configured services.
func (s *Set) Shares() map[string]float64 {
	out := map[string]float64{}
	for _, svc := range s.view().Services() {
		s.Get(svc.Name).Decide(func(d *steer.Decider) {
			for name, share := range d.Meter().Shares() {
				out[name] = share
			}
		})
	}
	return out
}

// AdoptShares starts the ramps of the configured services from the shares of
// another host of the zone. Each service does so once.
func (s *Set) AdoptShares(shares map[string]float64) {
	if len(shares) == 0 {
		return
	}
	for _, svc := range s.view().Services() {
		state := s.Get(svc.Name)
		state.Decide(func(d *steer.Decider) {
			if !state.adopted {
				state.adopted = true
				d.Meter().Adopt(shares)
			}
		})
	}
}

// MaxTimeout is the longest deadline that a request of any service can have.
func (s *Set) MaxTimeout() time.Duration {
	longest := time.Duration(0)
	for _, svc := range s.view().Services() {
		longest = max(longest, time.Duration(svc.MaxTimeout))
	}
	return longest
}

// Refresh gives each service the latest reports of the zones, and advances its
// ramps unless the configuration is frozen. Clock is the reading of the
// host's monotonic clock, in nanoseconds, at the time now.
func (s *Set) Refresh(zones []peers.ZoneReport, frozen bool, now time.Time, clock int64) {
	for _, svc := range s.view().Services() {
		state := s.Get(svc.Name)
		held, out, latency := state.Usage()
		state.Decide(func(d *steer.Decider) {
			d.SetLocal(held, out, latency)
			d.SetFrozen(frozen)
			d.Meter().Advance(now, frozen)
			for _, z := range zones {
				d.SetZone(z.Zone, reportOf(z, svc.Name, now, clock), z.RTT, z.Up)
			}
			d.Rank()
		})
	}
}

// reportOf gives what a zone reported of a service, by the host's clock.
func reportOf(z peers.ZoneReport, service string, now time.Time, clock int64) steer.Report {
	slots, ok := peers.SlotsOf(z.Free, service)
	if !ok {
		return steer.Report{}
	}
	return steer.Report{Free: slots.Free, Warm: slots.Warm, At: clock - int64(now.Sub(z.At))}
}
