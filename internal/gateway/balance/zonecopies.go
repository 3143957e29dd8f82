package balance

import (
	"slices"

	"cairndock/internal/gateway/upstream"
)

// zoneCopies finds the upstreams of a key that the zones of a region share: the best one of
// the zone that is paired with the host's own, and the best one of the other zones. The hosts
// of two zones then use the same two upstreams, and most requests stay in their zone.
//
// Every object is soon warm in two zones. A region whose upstreams together do not keep each
// object twice must not use this rule.
type zoneCopies struct {
	region, zone string
	near, far    lowestCost
}

// usesZoneCopies reports whether a request is served by the copies of its zone. A small one
// costs less between zones than the first load of its object at one more upstream. Bulk
// responses are not included, because they go to their region first (region.go).
func (p Policy) usesZoneCopies(q Query) bool {
	return p.ZoneCopies && !q.Bulk && q.MeanBytes >= float64(p.ZoneCopiesAbove)
}

// newZoneCopies returns the zone copies in a region, or nil if the request uses none or the
// region has a single zone. In another region than the host's own, the zone of the same
// position in the order of names is paired with the host's, so that the zones of a region
// share the upstreams of the others evenly.
func (b *Balancer) newZoneCopies(q Query, sum *summary, region string) *zoneCopies {
	if !b.policy.usesZoneCopies(q) {
		return nil
	}
	zones := sum.zones(region)
	position := slices.Index(sum.zones(b.location.Region), b.location.Zone)
	if region == b.location.Region && position < 0 || len(zones) < 2 {
		return nil // the service has no upstream in the host's zone
	}
	return &zoneCopies{region: region, zone: zones[max(0, position)%len(zones)], near: lowestCost{size: 1}, far: lowestCost{size: 1}}
}

// admits reports whether an upstream of the region with this cost may be the best of its
// part.
func (c *zoneCopies) admits(cost float64) bool {
	return c != nil && cost < c.bound()
}

// bound returns the cost from which no upstream of the region is the best of its part.
func (c *zoneCopies) bound() float64 {
	if c == nil {
		return 0
	}
	return max(c.near.bound(), c.far.bound())
}

// add adds an upstream of the region if it is the best of its part so far.
func (c *zoneCopies) add(u *upstream.Upstream, cost float64) {
	if c == nil || u.Region != c.region {
		return
	}
	part := &c.far
	if u.Zone == c.zone {
		part = &c.near
	}
	if part.admits(cost) {
		part.add(u, cost)
	}
}

// moveToFront puts both upstreams before all others, the near one first. Costs in the region
// that serves a key are below affinitySpread, so that a step separates the two. No other
// upstream of the zone takes the place of one that was tried, because the object is warm at
// the other copy.
func (c *zoneCopies) moveToFront(first *lowestCost, tried []string, triedLast func(*upstream.Upstream) bool) {
	for steps, part := range []lowestCost{c.far, c.near} {
		for _, r := range part.list {
			if !slices.Contains(tried, r.upstream.ID) {
				first.moveToFront(r, float64(steps+1), triedLast)
			}
		}
	}
}

// zones returns the zones of a region that have upstreams, sorted by name.
func (s *summary) zones(region string) []string {
	for i := range s.regions {
		if s.regions[i].region == region {
			return s.regions[i].zones
		}
	}
	return nil
}

// addZone adds the zone of an upstream.
func (r *regionSummary) addZone(zone string) {
	if i, found := slices.BinarySearch(r.zones, zone); !found {
		r.zones = slices.Insert(r.zones, i, zone)
	}
}
