package balance

import "cairndock/internal/gateway/upstream"

// pickHome gives the first home that is not busy, else the one with the least
// load that is not full.
func (b *Balancer) pickHome(homes []option, q Query) (int, Reason) {
	reason := Full
	best := -1
	for i, o := range homes {
		if o.load >= b.weights.full(q.Priority) {
			continue
		}
		if best >= 0 && (o.load >= homes[best].load || o.load >= b.weights.Spill) {
			continue
		}
		if !b.mayTake(o, q) {
			reason = Cold
			continue
		}
		best = i
		if o.load < b.weights.Busy {
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
func (b *Balancer) isNear(key uint64, q Query) bool {
	own, all := 0, 0
	for _, m := range q.Candidates {
		if !q.allows(m.Region) {
			continue
		}
		all += m.Capacity
		if m.Region == b.place.Region {
			own += m.Capacity
		}
	}
	part := float64(own) * float64(b.place.Regions) / float64(max(1, all))
	if q.Mixed {
		part = mixedPart(part, q.Bulk)
	}
	return unit(mix(key+nearSalt)) < part
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
const nearSalt = 0x9e3779b97f4a7c15

// homeCost is what speaks against an upstream as the home of a key.
func (b *Balancer) homeCost(m *upstream.Member, hash uint64, near bool) float64 {
	cost := unit(mix(hash)) * b.weights.Affinity
	if (m.Region == b.place.Region) != near {
		cost += b.weights.Away
	}
	return cost
}
