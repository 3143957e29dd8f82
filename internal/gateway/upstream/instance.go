// Package instance holds what is known of the upstreams that are running.
package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Instance is one life of an upstream. Its ID is never used again.
type Registration struct {
	ID      string
	Service string
	// Address is where it listens; it may pass to another service's
	// instance after this one has ended.
	Address string
	Zone    string
	Region  string
	// Capacity is how many requests it works on at the same time.
	Capacity int
	// Draining says that it wants no new work.
	Draining bool
	// ColdLeft is how much longer it said to be cold.
	ColdLeft time.Duration
}

// Member is an instance in a set, with what the host worked out about it.
type Upstream struct {
	Registration
	// ColdUntil is when the instance is taken for warm.
	ColdUntil time.Time
	// GoneAt is when an instance whose entry lapsed is taken for gone;
	// zero while it has an entry.
	ExpiresAt time.Time
}

// Cold reports whether the upstream is warming up: it bears few requests.
func (u *Upstream) Cold(now time.Time) bool { return now.Before(u.ColdUntil) }

// Set is the instances known at one moment. It is not changed after it is
// made.
type Set struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
}

// Service gives the instances of a service that may receive new work, in
// the order of their ids.
func (s *Set) Service(name string) []*Upstream { return s.byService[name] }

// Get gives an instance by its id.
func (s *Set) Get(id string) (*Upstream, bool) {
	m, ok := s.byID[id]
	return m, ok
}

// Len is the number of instances known, those that leave included.
func (s *Set) Len() int { return len(s.byID) }

// Registry works out the set from what a source tells. It is a plain state
// without locks.
type Registry struct {
	upstreams map[string]*Upstream
	evacuated map[string]bool
	seeded    bool
	// removed has what is remembered of instances that were removed.
	removed map[string]tombstone
	// warmUp gives how long an instance of a service stays cold.
	warmUp func(service string) time.Duration
}

// NewRegistry makes an empty registry. warmUp gives how long an instance of
// a service stays cold after its start.
func NewRegistry(warmUp func(service string) time.Duration) *Registry {
	return &Registry{
		upstreams: map[string]*Upstream{}, evacuated: map[string]bool{}, removed: map[string]tombstone{}, warmUp: warmUp,
	}
}

// Seed says that all instances were told that run already: one that comes
// from now on has just started.
func (r *Registry) Seed() { r.seeded = true }

// removal is what is remembered of an instance that was removed.
type tombstone struct {
	at        time.Time
	coldUntil time.Time
}

const (
	// LapseGrace is how long after their source's return the entries that
	// lapsed meanwhile may take to come back.
	LapseGrace = 2200 * time.Millisecond
	// rememberFor is how long a removed instance is remembered: one whose
	// entry comes back in that time has not started anew.
	rememberFor = time.Minute
)

// Put takes over one instance.
func (r *Registry) Put(in Registration, now time.Time) {
	r.upstreams[in.ID] = r.place(r.upstreams[in.ID], in, now)
	delete(r.removed, in.ID)
}

// Remove forgets an instance whose entry is gone. returned is when the source
// last came back after it had been away, or zero: entries lapse while their
// source can't take heartbeats, so one that is missing soon after may belong
// to an instance that lives. It stays until its heartbeat has had time to
// arrive, unless it had said that it leaves. The result says whether it stays.
func (r *Registry) Remove(id string, now, returned time.Time) (stays bool) {
	m := r.upstreams[id]
	if m == nil {
		return false
	}
	grace := returned.Add(LapseGrace)
	if returned.IsZero() || m.Draining || !now.Before(grace) {
		r.remove(m, now)
		return false
	}
	lapsed := *m
	lapsed.ExpiresAt = grace
	r.upstreams[id] = &lapsed
	return true
}

func (r *Registry) remove(m *Upstream, now time.Time) {
	delete(r.upstreams, m.ID)
	for id, past := range r.removed {
		if now.Sub(past.at) >= rememberFor {
			delete(r.removed, id)
		}
	}
	r.removed[m.ID] = tombstone{at: now, coldUntil: m.ColdUntil}
}

// Expire forgets the instances whose entries lapsed and did not come back in
// time, and gives them.
func (r *Registry) Expire(now time.Time) []Registration {
	var gone []Registration
	for _, m := range r.upstreams {
		if !m.ExpiresAt.IsZero() && !now.Before(m.ExpiresAt) {
			gone = append(gone, m.Registration)
			r.remove(m, now)
		}
	}
	return gone
}

// member decides how long an instance is cold. One that appears while the
// host runs has just started, whatever it says of itself.
func (r *Registry) place(old *Upstream, in Registration, now time.Time) *Upstream {
	m := &Upstream{Registration: in}
	past, wasRemoved := r.removed[in.ID]
	switch {
	case old != nil:
		m.ColdUntil = old.ColdUntil
	case wasRemoved:
		m.ColdUntil = past.coldUntil
	case r.seeded:
		m.ColdUntil = now.Add(r.warmUp(in.Service))
	}
	if told := now.Add(in.ColdLeft); in.ColdLeft > 0 && told.After(m.ColdUntil) {
		m.ColdUntil = told
	}
	return m
}

// Evacuate says which zones are to receive nothing. The instances of a zone
// that is taken back are cold.
func (r *Registry) Evacuate(zones map[string]bool, now time.Time) {
	for id, m := range r.upstreams {
		if !r.evacuated[m.Zone] || zones[m.Zone] {
			continue
		}
		back := *m
		if until := now.Add(r.warmUp(m.Service)); until.After(back.ColdUntil) {
			back.ColdUntil = until
		}
		r.upstreams[id] = &back
	}
	r.evacuated = maps.Clone(zones)
}

// Set gives the instances as they are known now.
func (r *Registry) Set() *Set {
	s := &Set{
		byID:      make(map[string]*Upstream, len(r.upstreams)),
		byService: map[string][]*Upstream{},
	}
	for id, m := range r.upstreams {
		s.byID[id] = m
		if m.Draining || r.evacuated[m.Zone] {
			continue
		}
		s.byService[m.Service] = append(s.byService[m.Service], m)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}
