package balance

// overflowSalt makes the choice of the region that takes over a key independent of the
// choice whether the key leaves its own region. Any odd constant is suitable; this one is
// the multiplier of MurmurHash2, twice.
const overflowSalt = 0x5bd1e9955bd1e995

// capacities are the numbers of requests that the upstreams which may serve a request
// process concurrently, by region, sorted by name.
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

// capacities returns the capacities of the regions that may serve a query.
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

// withoutReserved returns the capacities that remain for requests that may be served
// anywhere. It subtracts the capacity that requests bound to a region need there if all
// upstreams are equally loaded.
func (c capacities) withoutReserved(reserved map[string]float64) capacities {
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

// servingRegion returns the region whose upstreams a key goes to first. This is the host's
// own region for the fraction of its keys that the region has the capacity for, and a
// region with spare capacity for the others.
func (b *Balancer) servingRegion(key uint64, q Query, sum *summary) string {
	l := b.location
	c := sum.capacities(q).withoutReserved(b.reserved.update(q, l.Regions))
	fraction := ownKeysFraction(c.of(l.Region), c.all, l.Regions)
	if q.Mixed {
		fraction = bulkFirst(fraction, q.Bulk)
	}
	if unit(mix(key+regionSalt)) < fraction {
		return l.Region
	}
	evenShare := 0 // without SpareFirst, shares are in proportion to the regions' capacities
	if b.policy.SpareFirst {
		evenShare = c.all / max(1, l.Regions)
	}
	return overflowRegion(c, l, evenShare, unit(mix(key^overflowSalt)))
}

// overflowRegion returns the region that serves a key for which its own region has no
// capacity. Each other region takes a share in proportion to its capacity above evenShare,
// a region's even share of all capacity, so that all upstreams are equally loaded.
// position is the key's position among these shares, from 0 to 1.
//
// With shares in proportion to the size of the regions, a region that needs its upstreams
// itself took as many keys as one with half of its upstreams to spare. With 2, 8 and 10
// upstreams in three regions, in quiet hours, 94.7 of 100 responses arrived in time with
// shares by size and 95.1 by spare capacity. In a busy hour there is no spare capacity
// (92.5 and 92.1). Simulations of whole days are in docs/studies/decisions-under-load.md.
//
// If no other region has more than its even share, the result is the host's own region.
func overflowRegion(c capacities, l Location, evenShare int, position float64) string {
	total := 0
	for _, r := range c.regions {
		if r.region != l.Region {
			total += max(0, r.capacity-evenShare)
		}
	}
	left := position * float64(total)
	for _, r := range c.regions {
		if r.region == l.Region {
			continue
		}
		spare := float64(max(0, r.capacity-evenShare))
		if left < spare {
			return r.region
		}
		left -= spare
	}
	return l.Region
}

// ownKeysFraction returns the fraction of its keys that a region serves itself, given the
// service's capacity in the region and in all regions, in requests. It is 1 or more if the
// region has at least its even share; a region with less leaves the rest of its keys to
// the others. It assumes that all regions have the same demand.
//
// Two alternatives did worse (docs/studies/decisions-under-load.md). A constant cost of
// distance overloaded a region with 16 of 204 upstreams on a quiet day. Following the
// demand that hosts measure, at 0.03 per second, cost more first requests for objects than
// it saved.
func ownKeysFraction(own, all, regions int) float64 {
	return float64(own) * float64(regions) / float64(max(1, all))
}

// bulkFirst splits the fraction of its keys that a region serves itself, for a service
// with both large and small responses. Large responses are served in the region first,
// because they cause the most traffic between regions. It assumes equal numbers of large
// and small responses.
func bulkFirst(fraction float64, bulk bool) float64 {
	large := min(1, 2*fraction)
	if bulk {
		return large
	}
	return 2*fraction - large
}
