package upstream

import (
	"cmp"
	"maps"
	"slices"
)

// Set has the upstreams known at one time. The set and its lists are immutable.
type Set struct {
	// serving has the upstreams that may receive new work, by service and in the order of
	// ascending ids.
	serving map[string][]*Upstream
	// excluded has the others, by ascending id.
	excluded []*Upstream
}

// Set returns the upstreams known now. Upstreams that are draining or in an evacuated zone
// receive no new work.
//
// The set is derived from the previous one and the changes since, because rows change one at a
// time. An upstream is found in a list by its id, so that the work beside copying the lists
// that change grows with the number of changes.
func (r *Registry) Set() *Set {
	if len(r.changed) == 0 {
		return r.set
	}
	ids := slices.Sorted(maps.Keys(r.changed))
	s := &Set{serving: make(map[string][]*Upstream, len(r.set.serving))}
	var excluded []*Upstream
	serving := map[string][]*Upstream{}
	for _, id := range ids {
		switch u := r.upstreams[id]; {
		case u == nil:
		case r.serves(u):
			serving[u.Service] = append(serving[u.Service], u)
		default:
			excluded = append(excluded, u)
		}
	}
	for service, list := range r.set.serving {
		if list = replace(list, ids, serving[service]); len(list) > 0 {
			s.serving[service] = list
		}
	}
	for service, added := range serving {
		if r.set.serving[service] == nil {
			s.serving[service] = added
		}
	}
	s.excluded = replace(r.set.excluded, ids, excluded)
	r.set, r.changed = s, map[string]bool{}
	return s
}

// serves reports whether an upstream may receive new work.
func (r *Registry) serves(u *Upstream) bool { return !u.Draining && !r.evacuated[u.Zone] }

// replace returns a list without the upstreams with the given ids and with the added ones; the
// same list if nothing changes. All are in the order of ascending ids, and each of the added
// ones has one of the ids.
func replace(list []*Upstream, ids []string, added []*Upstream) []*Upstream {
	isListed := func(id string) bool { _, ok := find(list, id); return ok }
	if len(added) == 0 && !slices.ContainsFunc(ids, isListed) {
		return list
	}
	replaced := make([]*Upstream, 0, len(list)+len(added))
	for _, id := range ids {
		i, listed := slices.BinarySearchFunc(list, id, compareID)
		replaced = append(replaced, list[:i]...)
		list = list[i:]
		if listed {
			list = list[1:]
		}
		if len(added) > 0 && added[0].ID == id {
			replaced, added = append(replaced, added[0]), added[1:]
		}
	}
	return append(replaced, list...)
}

// compareID compares the id of an upstream with another id.
func compareID(u *Upstream, id string) int { return cmp.Compare(u.ID, id) }

// Service returns the upstreams of a service that may receive new work, by
// ascending id.
func (s *Set) Service(name string) []*Upstream { return s.serving[name] }

// Serving returns the upstreams of all services that may receive new work, in no particular
// order.
func (s *Set) Serving() []*Upstream {
	var all []*Upstream
	for _, list := range s.serving {
		all = append(all, list...)
	}
	return all
}

// Runs returns the runs of all known upstreams, including those that receive no new work.
func (s *Set) Runs() map[Run]bool {
	runs := make(map[Run]bool, s.Len())
	for _, list := range s.serving {
		for _, u := range list {
			runs[u.Run()] = true
		}
	}
	for _, u := range s.excluded {
		runs[u.Run()] = true
	}
	return runs
}

// Get returns an upstream by its id. It searches all lists, because it is not called on the
// path of requests.
func (s *Set) Get(id string) (*Upstream, bool) {
	for _, list := range s.serving {
		if u, ok := find(list, id); ok {
			return u, true
		}
	}
	return find(s.excluded, id)
}

// find returns the upstream with an id from a list that is sorted by id.
func find(list []*Upstream, id string) (*Upstream, bool) {
	i, ok := slices.BinarySearchFunc(list, id, compareID)
	if !ok {
		return nil, false
	}
	return list[i], true
}

// Len returns the number of known upstreams, including those that receive no new work.
func (s *Set) Len() int {
	n := len(s.excluded)
	for _, list := range s.serving {
		n += len(list)
	}
	return n
}
