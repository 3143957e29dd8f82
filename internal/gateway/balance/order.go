package balance

import (
	"math"

	"cairndock/internal/gateway/upstream"
)

const (
	// affinitySpread is the range over which rendezvous hashing spreads the
	// costs of the upstreams for one key. It is the unit of all costs:
	// chosen, not measured, as only the relations between costs matter.
	affinitySpread = 10.0
	// zoneStep is the cost of another zone of the own region for a request
	// without affinity. At half the spread, every upstream of the own zone
	// comes before every other one. Trying the region as a whole first gained
	// 0.02 less worth on sites without keys (bytes between zones).
	zoneStep = affinitySpread / 2
	// crossRegionCost is the cost of a region other than the one that serves
	// the key, for a request with affinity. Chosen together with the rule of
	// ownKeysPart (quiet-1 of cacf-ruteo-grown: 0.364 before, 0.694 after);
	// not measured alone.
	crossRegionCost = 3.0
	// regionSalt makes the choice of a key's region independent of the order
	// of its upstreams. Any odd constant would do; this is 2^64 divided by
	// the golden ratio.
	regionSalt = 0x9e3779b97f4a7c15
)

// order gives upstreams their costs for one request.
type order struct {
	location   Location
	noAffinity bool
	// ownRegion means that the key is served in the host's own region first,
	// and otherwise in the others.
	ownRegion bool
}

// cost returns an upstream's cost for a request; hash is that of the
// request's key and the upstream's id.
//
// With affinity it is the rank of rendezvous hashing, and the same at all
// hosts of a region: when an upstream comes or goes, only the keys that it
// serves move. Without affinity, the upstreams of the own zone come first,
// then those of the region that serves the key, then all others, each of them
// in random order.
func (o order) cost(u *upstream.Upstream, hash uint64) float64 {
	own := u.Region == o.location.Region
	// away means that the key is not served in the upstream's region first.
	away := own != o.ownRegion
	if !o.noAffinity {
		cost := unit(mix(hash)) * affinitySpread
		if away {
			cost += crossRegionCost
		}
		return cost
	}
	cost := unit(mix(hash)) * zoneStep
	if own && u.Zone != o.location.Zone {
		cost += zoneStep
	}
	if away {
		cost += affinitySpread
	}
	return cost
}

// prefersOwnRegion decides whether a key is served in the host's own region or
// in the others.
func prefersOwnRegion(l Location, key uint64, q Query) bool {
	own, all := 0, 0
	for _, u := range q.Upstreams {
		if !q.allows(u.Region) {
			continue
		}
		all += u.Capacity
		if u.Region == l.Region {
			own += u.Capacity
		}
	}
	part := ownKeysPart(own, all, l.Regions)
	if q.Mixed {
		part = bulkFirst(part, q.Bulk)
	}
	return unit(mix(key+regionSalt)) < part
}

// ownKeysPart returns the part of its keys that a region serves itself, for
// the capacity that the region has of the service and the capacity of all
// regions, in requests. It is 1 or more when the capacity is the region's
// even share; a region with less leaves the rest of its keys to the others.
// It assumes that all regions ask for the same. A constant cost of distance
// in its place overloaded a region with 16 of 204 upstreams (quiet-1 of
// cacf-ruteo-grown: worth 0.364, with this rule 0.694).
func ownKeysPart(own, all, regions int) float64 {
	return float64(own) * float64(regions) / float64(max(1, all))
}

// bulkFirst splits a region's part of the keys of a service that has both
// large and small responses: the large ones are served in the region first,
// as they cost the most bytes between regions. It assumes as many requests of
// each sort. Worth of cacf-ruteo quiet-1: 0.784 without, 0.794 with it.
func bulkFirst(part float64, bulk bool) float64 {
	large := min(1, 2*part)
	if bulk {
		return large
	}
	return 2*part - large
}

// mix spreads the bits of a number (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a number to the range from 0 to 1.
func unit(x uint64) float64 { return float64(x) / math.MaxUint64 }
