package balance

import "cairndock/internal/gateway/upstream"

// index has what the order of a list of upstreams depends on, in arrays: a choice reads it
// for every upstream of the service, and the upstreams themselves are spread over memory.
type index struct {
	list  []*upstream.Upstream
	seeds []uint64
	// regions has the position of each upstream's region in names.
	regions []uint32
	names   []string
}

// newIndex returns the index of a list.
func newIndex(list []*upstream.Upstream) *index {
	x := &index{list: list, seeds: make([]uint64, len(list)), regions: make([]uint32, len(list))}
	for i, u := range list {
		x.seeds[i] = u.Seed()
		x.regions[i] = x.region(u.Region)
	}
	return x
}

// isOf reports whether the index is of a list. Lists are not changed once they are made, so
// that the same memory is the same list.
func (x *index) isOf(list []*upstream.Upstream) bool {
	return x != nil && len(x.list) == len(list) && &x.list[0] == &list[0]
}

// region returns the position of a region's name, and adds it if it has none.
func (x *index) region(name string) uint32 {
	for i := range x.names {
		if x.names[i] == name {
			return uint32(i)
		}
	}
	x.names = append(x.names, name)
	return uint32(len(x.names) - 1)
}

// maxIndexes bounds the indexes that are kept: one for each list of a service, and some more
// while a rollout divides the upstreams of a service. All are dropped when it is reached.
const maxIndexes = 64

// index returns the index of a list, which must not be empty.
func (b *Balancer) index(list []*upstream.Upstream) *index {
	x := b.indexes[&list[0]]
	if !x.isOf(list) {
		x = newIndex(list)
		if len(b.indexes) >= maxIndexes {
			clear(b.indexes)
		}
		b.indexes[&list[0]] = x
	}
	return x
}
