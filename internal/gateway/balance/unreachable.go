package balance

import (
	"slices"

	"cairndock/internal/gateway/upstream"
)

// A single unreachable upstream does not imply that the others near it are unreachable. If
// several upstreams of a zone refuse the connections of one request, the whole zone has
// probably failed. If one does not answer, its zone is probably cut off or without power.
// A request that tried the upstreams of such a zone one by one would time out before it
// reached a running upstream.
const (
	// minRefusedPerZone is how many upstreams of a zone must refuse a request until the
	// other upstreams of the zone are tried last.
	minRefusedPerZone = 2
	// minRefusedPerRegion is the same for a region: more than one of its zones has then
	// failed.
	minRefusedPerRegion = 3
)

// isNearUnreachable reports whether an upstream is tried last because the request could
// not reach others in its zone or region.
func (q *Query) isNearUnreachable(u *upstream.Upstream) bool {
	sameZone := func(o *upstream.Upstream) bool { return o.Zone == u.Zone && o.Region == u.Region }
	if slices.ContainsFunc(q.Unanswered, sameZone) {
		return true
	}
	zone, region := 0, 0
	for _, r := range q.Refused {
		if r.Region == u.Region {
			region++
		}
		if sameZone(r) {
			zone++
		}
	}
	return zone >= minRefusedPerZone || region >= minRefusedPerRegion
}
