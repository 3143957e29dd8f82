package upstream

import (
	"cmp"
	"slices"
)

// Set is the upstreams known at one moment. It is not changed after it is
// made.
type Set struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
}

// newSet makes a set of the upstreams known; those that are draining or in an
// evacuated zone receive no new work.
func newSet(upstreams map[string]*Upstream, evacuated map[string]bool) *Set {
	s := &Set{
		byID:      make(map[string]*Upstream, len(upstreams)),
		byService: map[string][]*Upstream{},
	}
	for id, u := range upstreams {
		s.byID[id] = u
		if u.Draining || evacuated[u.Zone] {
			continue
		}
		s.byService[u.Service] = append(s.byService[u.Service], u)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Service returns the upstreams of a service that may receive new work, by
// ascending id.
func (s *Set) Service(name string) []*Upstream { return s.byService[name] }

// Get returns an upstream by its id.
func (s *Set) Get(id string) (*Upstream, bool) {
	u, ok := s.byID[id]
	return u, ok
}

// Len returns the number of upstreams known, also those that receive no new
// work.
func (s *Set) Len() int { return len(s.byID) }
