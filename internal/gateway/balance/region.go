package balance

// overflowSalt makes the choice of the region that takes a key over independent of
// the choice whether the key leaves its own. Any odd constant would do; this is the
// multiplier of MurmurHash2, twice.
const overflowSalt = 0x5bd1e9955bd1e995

// capacities are what the upstreams that may serve a request work on at once, in
// requests, by region in the order of their names.
type capacities struct {
	regions []regionCapacity
	all     int
}

type regionCapacity struct {
	region   string
	capacity int
}

// of returns the capacity of a region.
func (c capacities) of(region string) int {
	for _, r := range c.regions {
		if r.region == region {
			return r.capacity
		}
	}
	return 0
}

// capacities returns those of the regions that may serve a query.
func (s *summary) capacities(q Query) capacities {
	c := capacities{regions: make([]regionCapacity, 0, len(s.regions))}
	for _, r := range s.regions {
		if q.allows(r.region) {
			c.regions = append(c.regions, regionCapacity{r.region, r.capacity})
			c.all += r.capacity
		}
	}
	return c
}

// without returns the capacities that requests which may be served anywhere leave to those
// that are bound to a region: what these need of it while all upstreams are used alike.
func (c capacities) without(reserved map[string]float64) capacities {
	if len(reserved) == 0 {
		return c
	}
	left := capacities{regions: make([]regionCapacity, 0, len(c.regions))}
	for _, r := range c.regions {
		r.capacity = max(0, r.capacity-int(reserved[r.region]*float64(c.all)))
		left.regions = append(left.regions, r)
		left.all += r.capacity
	}
	return left
}

// servingRegion returns the region whose upstreams a key goes to first: the host's
// own for the part of its keys that it has the capacity for, and for the others
// one with capacity to spare.
func (b *Balancer) servingRegion(key uint64, q Query, sum *summary) string {
	l := b.location
	c := sum.capacities(q).without(b.reserved.follow(q, l.Regions))
	part := ownKeysPart(c.of(l.Region), c.all, l.Regions)
	if q.Mixed {
		part = bulkFirst(part, q.Bulk)
	}
	if unit(mix(key+regionSalt)) < part {
		return l.Region
	}
	even := 0 // each takes a part in proportion to its size
	if b.policy.SpareFirst {
		even = c.all / max(1, l.Regions)
	}
	return overflowRegion(c, l, even, unit(mix(key^overflowSalt)))
}

// overflowRegion returns the region that serves a key which its own region has no
// capacity for. Each other region takes a part in proportion to the capacity that
// it has above even, a region's even share, so that all upstreams are used alike;
// at is the key's place among these parts, from 0 to 1. By their size alone a region that
// needs its upstreams itself took as much as one with half of them to spare. With
// 2, 8 and 10 upstreams in three regions, in calm hours, 94.7 of 100 responses came
// in time by size and 95.1 by what is spare; in a busy one there is nothing spare
// (92.5 and 92.1). Plays of whole days: docs/studies/decisions-under-load.md.
//
// Without a region that has more than its share it is the own region.
func overflowRegion(c capacities, l Location, even int, at float64) string {
	total := 0
	for _, r := range c.regions {
		if r.region != l.Region {
			total += max(0, r.capacity-even)
		}
	}
	left := at * float64(total)
	for _, r := range c.regions {
		if r.region == l.Region {
			continue
		}
		spare := float64(max(0, r.capacity-even))
		if left < spare {
			return r.region
		}
		left -= spare
	}
	return l.Region
}

// ownKeysPart returns the part of its keys that a region serves itself, for
// the capacity that the region has of the service and the capacity of all
// regions, in requests. It is 1 or more when the capacity is the region's
// even share; a region with less leaves the rest of its keys to the others.
// It assumes that all regions ask for the same. A constant cost of distance
// in its place overloaded a region with 16 of 204 upstreams on a calm day. Following
// the requests that hosts measure, at 0.03 a second, cost more first requests for
// objects than it saved (docs/studies/decisions-under-load.md).
func ownKeysPart(own, all, regions int) float64 {
	return float64(own) * float64(regions) / float64(max(1, all))
}

// bulkFirst splits a region's part of the keys of a service that has both
// large and small responses: the large ones are served in the region first,
// as they cost the most bytes between regions. It assumes as many requests of
// each sort.
func bulkFirst(part float64, bulk bool) float64 {
	large := min(1, 2*part)
	if bulk {
		return large
	}
	return 2*part - large
}
