package balance

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/gateway/upstream"
)

// ranked is an upstream with its cost for one request.
type ranked struct {
	upstream *upstream.Upstream
	cost     float64
}

// lowestCost holds the upstreams of the lowest costs, in ascending order; at most size of
// them.
type lowestCost struct {
	list []ranked
	size int
}

// admits reports whether an upstream with this cost would be in the list.
func (l *lowestCost) admits(cost float64) bool {
	return len(l.list) < l.size || cost < l.list[len(l.list)-1].cost
}

// bound returns the cost from which the list admits no upstream.
func (l *lowestCost) bound() float64 {
	if len(l.list) < l.size {
		return math.Inf(1)
	}
	return l.list[len(l.list)-1].cost
}

// add inserts an upstream that the list admits.
func (l *lowestCost) add(u *upstream.Upstream, cost float64) {
	index := len(l.list)
	for index > 0 && cost < l.list[index-1].cost {
		index--
	}
	l.list = slices.Insert(l.list, index, ranked{u, cost})
	l.list = l.list[:min(len(l.list), l.size)]
}

// preferenceList returns the upstreams that serve a key, in the order in which they are
// tried: those that may serve the request and were not tried yet, by cost. It also returns
// the upstreams that were withheld; the next upstreams in order take their positions. pick
// chooses one of the list.
//
// The whole order is not computed. Load and health are expensive to look up, so only the
// few upstreams that may be among the first are checked (BenchmarkChoose).
func (b *Balancer) preferenceList(q Query) (list []scored, withheld Withheld, pick picker) {
	if len(q.Upstreams) == 0 {
		return nil, Withheld{}, pickPreferred
	}
	key := xxhash.Sum64String(q.Key)
	sum := b.summary(q)
	o := b.order(key, q, sum)
	ejections := b.honorsEjections(q, sum)
	triedLast := func(u *upstream.Upstream) bool { return b.isTriedLast(u, &q, ejections) }
	// One more, because the region's best upstream may be among them.
	p := preferences{first: lowestCost{size: b.policy.PreferenceList + 1}, regionBest: lowestCost{size: 1}, copies: b.newZoneCopies(q, sum, o.region)}
	x := b.index(q.Upstreams)
	serving := x.region(o.region)
	own, other := p.highestHashes(o)
	for i, seed := range x.seeds {
		inRegion, hash := x.regions[i] == serving, mix(key^seed)
		highest := other
		if inRegion {
			highest = own
		}
		if hash > highest {
			continue
		}
		cost, u := o.affinityCost(hash, inRegion), q.Upstreams[i]
		if !p.admits(cost, inRegion) || !q.allows(u.Region) {
			continue
		}
		if slices.Contains(q.Tried, u.ID) {
			p.copies.add(u, cost)
			continue
		}
		if withheld.add(b.notices.Withheld(u, q.Now)) {
			continue
		}
		p.add(u, cost, inRegion, triedLast)
		own, other = p.highestHashes(o)
	}
	first := p.inOrder(q, b.policy.RegionFirst, triedLast)
	list = make([]scored, 0, b.policy.PreferenceList)
	for _, r := range first[:min(len(first), b.policy.PreferenceList)] {
		x := b.score(r.upstream, r.cost, q.Now)
		x.triedLast = b.policy.EvenLoad && triedLast(r.upstream)
		list = append(list, x)
	}
	if b.policy.EvenLoad && b.expect(list, sum, q.Now) {
		return list, withheld, pickEven
	}
	return list, withheld, pickPreferred
}

// picker returns the rank of the upstream that serves a request, or the reason why none of
// the list does.
type picker func(list []scored, a admission) (int, Reason)

// highestHash returns a hash above which costs are not below a bound. It is slightly too high,
// because costs are rounded. Comparing hashes first avoids computing the costs of nearly all
// upstreams (BenchmarkChoose).
func highestHash(bound float64) uint64 {
	const rounding = 1e-9
	if share := bound/affinitySpread + rounding; share < 1 {
		return uint64(max(0, share) * math.MaxUint64)
	}
	return math.MaxUint64
}

// preferences are the upstreams of the lowest costs for a key, as far as they were looked at.
type preferences struct {
	first, regionBest lowestCost
	// copies is nil unless each zone has an upstream of its own for a key.
	copies *zoneCopies
}

// admits reports whether an upstream with this cost would be among them. inRegion means that
// it is in the region that serves the key.
func (p *preferences) admits(cost float64, inRegion bool) bool {
	return p.first.admits(cost) || inRegion && (p.regionBest.admits(cost) || p.copies.admits(cost))
}

// highestHashes returns hashes above which no upstream is admitted, for the region that serves
// the key and for the others.
func (p *preferences) highestHashes(o order) (own, other uint64) {
	return highestHash(max(p.first.bound(), p.regionBest.bound(), p.copies.bound())), highestHash(p.first.bound() - o.regionCost)
}

// add adds an upstream that is admitted.
func (p *preferences) add(u *upstream.Upstream, cost float64, inRegion bool, triedLast func(*upstream.Upstream) bool) {
	if inRegion {
		p.copies.add(u, cost)
		if p.regionBest.admits(cost) {
			p.regionBest.add(u, cost)
		}
	}
	if triedLast(u) {
		cost += triedLastCost
	}
	if p.first.admits(cost) {
		p.first.add(u, cost)
	}
}

// inOrder returns the upstreams in the order in which they are tried.
func (p *preferences) inOrder(q Query, regionFirst bool, triedLast func(*upstream.Upstream) bool) []ranked {
	switch {
	case p.copies != nil:
		p.copies.moveToFront(&p.first, q.Tried, triedLast)
	case regionFirst && len(p.regionBest.list) > 0:
		p.first.moveToFront(p.regionBest.list[0], 1, triedLast)
	}
	return p.first.list
}

// moveToFront puts the best upstream of the region that serves the key before all others,
// whatever their cost, unless this upstream is tried last. Those moved by more steps come
// before those moved by fewer. Without this rule, a region with few upstreams would have none
// among the lowest of many random costs. The upstreams after it in the order may be of any
// region.
func (l *lowestCost) moveToFront(best ranked, step float64, triedLast func(*upstream.Upstream) bool) {
	l.list = slices.DeleteFunc(l.list, func(r ranked) bool { return r.upstream == best.upstream })
	cost := best.cost - step*affinitySpread
	if triedLast(best.upstream) {
		cost += triedLastCost
	}
	if l.admits(cost) {
		l.add(best.upstream, cost)
	}
}
