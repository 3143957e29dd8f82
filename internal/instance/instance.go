// Package instance holds what is known of the upstreams that are running.
package instance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Instance is one life of an upstream. Its ID is never used again.
type Instance struct {
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
type Member struct {
	Instance
	// ColdUntil is when the instance is taken for warm.
	ColdUntil time.Time
}

// Set is the instances known at one moment. It is not changed after it is
// made.
type Set struct {
	byID      map[string]*Member
	byService map[string][]*Member
}

// Service gives the instances of a service that may receive new work, in
// the order of their ids.
func (s *Set) Service(name string) []*Member { return s.byService[name] }

// Get gives an instance by its id.
func (s *Set) Get(id string) (*Member, bool) {
	m, ok := s.byID[id]
	return m, ok
}

// Len is the number of instances known, those that leave included.
func (s *Set) Len() int { return len(s.byID) }

// Registry works out the set from what a source tells. It is a plain state
// without locks.
type Registry struct {
	members   map[string]*Member
	evacuated map[string]bool
	seeded    bool
	// warmUp gives how long an instance of a service stays cold.
	warmUp func(service string) time.Duration
}

// NewRegistry makes an empty registry. warmUp gives how long an instance of
// a service stays cold after its start.
func NewRegistry(warmUp func(service string) time.Duration) *Registry {
	return &Registry{members: map[string]*Member{}, evacuated: map[string]bool{}, warmUp: warmUp}
}

// Seed says that all instances were told that run already: one that comes
// from now on has just started.
func (r *Registry) Seed() { r.seeded = true }

// Put takes over one instance.
func (r *Registry) Put(in Instance, now time.Time) {
	r.members[in.ID] = r.member(r.members[in.ID], in, now)
}

// Remove forgets an instance that is gone.
func (r *Registry) Remove(id string) { delete(r.members, id) }

// member decides how long an instance is cold. One that appears while the
// host runs has just started, whatever it says of itself.
func (r *Registry) member(old *Member, in Instance, now time.Time) *Member {
	m := &Member{Instance: in}
	switch {
	case old != nil:
		m.ColdUntil = old.ColdUntil
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
	for id, m := range r.members {
		if !r.evacuated[m.Zone] || zones[m.Zone] {
			continue
		}
		back := *m
		if until := now.Add(r.warmUp(m.Service)); until.After(back.ColdUntil) {
			back.ColdUntil = until
		}
		r.members[id] = &back
	}
	r.evacuated = maps.Clone(zones)
}

// Set gives the instances as they are known now.
func (r *Registry) Set() *Set {
	s := &Set{
		byID:      make(map[string]*Member, len(r.members)),
		byService: map[string][]*Member{},
	}
	for id, m := range r.members {
		s.byID[id] = m
		if m.Draining || r.evacuated[m.Zone] {
			continue
		}
		s.byService[m.Service] = append(s.byService[m.Service], m)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}
