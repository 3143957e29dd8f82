package balance

import "cairndock/internal/gateway/upstream"

// pickHome gives the first home that is not busy, else the one with the least
// load that is not full.
func (b *Balancer) pickPreferred(homes []candidate, q Query) (int, Reason) {
	reason := Overloaded
	best := -1
	for i, o := range homes {
		if o.load >= b.weights.rejectAbove(q.Priority) {
			continue
		}
		if best >= 0 && (o.load >= homes[best].load || o.load >= b.weights.SpillBelow) {
			continue
		}
		if !b.withinWarmUpQuota(o, q) {
			reason = WarmUpLimited
			continue
		}
		best = i
		if o.load < b.weights.SpillAbove {
			break
		}
	}
	if best < 0 {
		return 0, reason
	}
	return best, Chosen
}

// isNear decides whether a key belongs to the own region. Each region keeps
// as large a part of its keys as it has capacity for, on the assumption that
// all regions ask for about the same; the rest belongs to the others, so that
// a region with few upstreams is not overloaded while others have room.
func (b *Balancer) prefersOwnRegion(key uint64, q Query) bool {
	own, all := 0, 0
	for _, m := range q.Candidates {
		if !q.allows(m.Region) {
			continue
		}
		all += m.Capacity
		if m.Region == b.location.Region {
			own += m.Capacity
		}
	}
	part := float64(own) * float64(b.location.Regions) / float64(max(1, all))
	if q.Mixed {
		part = mixedPart(part, q.Bulk)
	}
	return unit(mix(key+regionSalt)) < part
}

// mixedPart gives large answers the region's capacity first, as the bytes of
// the others cost little on their way, on the assumption that a service gets
// as many requests of each sort.
func mixedPart(part float64, bulk bool) float64 {
	large := min(1, 2*part)
	if bulk {
		return large
	}
	return 2*part - large
}

// nearSalt keeps a key's side apart from its order of upstreams.
const regionSalt = 0x9e3779b97f4a7c15

// homeCost is what speaks against an upstream as the home of a key.
func (b *Balancer) affinityCost(m *upstream.Upstream, hash uint64, near bool) float64 {
	cost := unit(mix(hash)) * b.weights.AffinitySpread
	if (m.Region == b.location.Region) != near {
		cost += b.weights.CrossRegionCost
	}
	return cost
}
