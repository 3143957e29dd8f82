// Package services holds the state of each service on a host: the slots that the host
// holds at the service's upstreams, and the decider that chooses zones for requests.
//
// The package keeps the gates and the deciders. Package rosters assigns the slots, and
// package heartbeats provides the reports of other zones.
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

// Service is the state of one service on this host.
type Service struct {
	name string
	// Gate admits requests to the slots that this host holds.
	Gate *slot.Gate

	mu      sync.Mutex
	decider *steer.Decider
	adopted bool // AdoptShares has been applied
}

// Decide calls f with the service's decider while the service is locked. The function f
// must not retain the decider, and must not acquire any lock except the gate's.
func (s *Service) Decide(f func(d *steer.Decider)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.decider)
}

// Usage returns the number of the service's slots that this host holds, the number of
// outstanding requests, and the usual latency of the service's upstreams.
func (s *Service) Usage() (held, outstanding int, latency time.Duration) {
	s.Gate.Do(func(p *slot.Pool) {
		held, outstanding = p.Usage()
		latency = p.Latency()
	})
	return held, outstanding, latency
}

// Free returns the service's slots as they are reported to other hosts.
func (s *Service) Free() member.ServiceSlots {
	load := s.Gate.Load()
	return member.ServiceSlots{Service: s.name, Free: load.Free, Held: load.Held, Warm: load.Warm}
}

// Set contains all services that have been configured since this host started. It is
// safe for concurrent use.
type Set struct {
	view     func() *config.View
	random   func() float64
	services sync.Map // name to *Service
	leaving  atomic.Bool
}

// NewSet returns a Set of the services in the configuration that view returns. The
// function random returns random numbers in [0, 1) and must be safe for concurrent use.
func NewSet(view func() *config.View, random func() float64) *Set {
	return &Set{view: view, random: random}
}

// Get returns the state of a service. The state of a new service is created.
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

// Leave marks the host as leaving at the gates of all services, including services that
// are added later. Once the host holds no slots, the gates refuse requests with
// slot.Leaving.
func (s *Set) Leave() {
	s.leaving.Store(true)
	for _, svc := range s.All() {
		svc.Gate.Leave()
	}
}

// All iterates over all services by name, including services that are no longer
// configured.
func (s *Set) All() iter.Seq2[string, *Service] {
	return func(yield func(string, *Service) bool) {
		s.services.Range(func(name, svc any) bool { return yield(name.(string), svc.(*Service)) })
	}
}

// Free returns the slots of each configured service.
func (s *Set) Free() []member.ServiceSlots {
	var out []member.ServiceSlots
	for _, svc := range s.view().Services() {
		out = append(out, s.Get(svc.Name).Free())
	}
	return out
}

// Outstanding returns the number of slots that are in use, over all services.
func (s *Set) Outstanding() int {
	count := 0
	for _, svc := range s.All() {
		count += svc.Gate.Load().Outstanding
	}
	return count
}

// WithinHeld reports whether all slots in use are slots that this host holds.
func (s *Set) WithinHeld() bool {
	ok := true
	for _, svc := range s.All() {
		svc.Gate.Do(func(p *slot.Pool) { ok = p.WithinHeld() })
		if !ok {
			break
		}
	}
	return ok
}

// Shares returns the current share of each rule of the configured services.
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

// AdoptShares starts the ramps of the configured services at the shares of another host
// of the zone. It is applied only once to each service.
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

// MaxTimeout returns the longest max_timeout of the configured services, which limits
// the time until the deadline of any request.
func (s *Set) MaxTimeout() time.Duration {
	longest := time.Duration(0)
	for _, svc := range s.view().Services() {
		longest = max(longest, time.Duration(svc.MaxTimeout))
	}
	return longest
}

// Refresh passes the latest reports of the zones to each service, and advances the ramps
// of the service unless the configuration is frozen. The argument clock is the reading
// of the host's monotonic clock, in nanoseconds, at the time now.
func (s *Set) Refresh(zones []peers.ZoneReport, frozen bool, now time.Time, clock int64) {
	for _, svc := range s.view().Services() {
		state := s.Get(svc.Name)
		held, outstanding, latency := state.Usage()
		state.Decide(func(d *steer.Decider) {
			d.SetLocal(held, outstanding, latency)
			d.SetFrozen(frozen)
			d.Meter().Advance(now, frozen)
			for _, z := range zones {
				d.SetZone(z.Zone, reportOf(z, svc.Name, now, clock), z.RTT, z.Up)
			}
			d.Rank()
		})
	}
}

// reportOf returns the report of a zone about a service. Its time is converted to the
// host's monotonic clock.
func reportOf(z peers.ZoneReport, service string, now time.Time, clock int64) steer.Report {
	slots, ok := peers.SlotsOf(z.Free, service)
	if !ok {
		return steer.Report{}
	}
	return steer.Report{Free: slots.Free, Warm: slots.Warm, At: clock - int64(now.Sub(z.At))}
}
