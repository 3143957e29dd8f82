package balance

import (
	"math"

	"cairndock/internal/gateway/upstream"
)

const (
	// affinitySpread is the range over which rendezvous hashing spreads the
	// costs of the upstreams for one key. It is the unit of all costs:
	// only the relations between them matter.
	affinitySpread = 10.0
	// zoneStep is the cost of another zone of the own region for a request
	// without affinity. At half the spread, every upstream of the own zone
	// comes before every other one. Trying the region as a whole first costs
	// bytes between zones (docs/design/platform.md).
	zoneStep = affinitySpread / 2
	// crossRegionCost is the cost of a region other than the one that serves
	// the key, for a request with affinity. The first upstream is of that region
	// anyway (lowest.prefer); the cost decides how often the second one is, which
	// takes what the first has no room for. A region that is busy is so at all of
	// its upstreams, so that its second one seldom has room: of 100 responses
	// 92.1 came in time at 1, 89.3 at 3 and 92.6 at 0, where slightly more
	// requests leave their region.
	crossRegionCost = 1.0
	// regionSalt makes the choice of a key's region independent of the order
	// of its upstreams. Any odd constant would do; this is 2^64 divided by
	// the golden ratio.
	regionSalt = 0x9e3779b97f4a7c15
)

// order gives upstreams their costs for one request.
type order struct {
	location   Location
	noAffinity bool
	// regionCost is the cost of a region other than the one that serves the key,
	// for a request with affinity.
	regionCost float64
	// region is the one whose upstreams serve the key first.
	region string
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
	away := u.Region != o.region
	if !o.noAffinity {
		cost := unit(mix(hash)) * affinitySpread
		if away {
			cost += o.regionCost
		}
		return cost
	}
	cost := unit(mix(hash)) * zoneStep
	if u.Region == o.location.Region && u.Zone != o.location.Zone {
		cost += zoneStep
	}
	if away {
		cost += affinitySpread
	}
	return cost
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
