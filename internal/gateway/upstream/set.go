package upstream

import (
	"cmp"
	"maps"
	"slices"
)

// Set is the upstreams known at one moment. It is not changed after it is
// made.
type Set struct {
	byID      map[string]*Upstream
	runs      map[Run]bool
	byService map[string][]*Upstream
}

// Set returns the upstreams known now; those that are draining or in an
// evacuated zone receive no new work.
func (r *Registry) Set() *Set {
	s := &Set{byID: maps.Clone(r.upstreams), runs: make(map[Run]bool, len(r.upstreams)), byService: map[string][]*Upstream{}}
	for _, u := range r.upstreams {
		s.runs[u.Run()] = true
		if !u.Draining && !r.evacuated[u.Zone] {
			s.byService[u.Service] = append(s.byService[u.Service], u)
		}
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

// Runs reports whether a run of an upstream is one that is registered.
func (s *Set) Runs(run Run) bool { return s.runs[run] }

// Len returns the number of upstreams known, also those that receive no new
// work.
func (s *Set) Len() int { return len(s.byID) }
