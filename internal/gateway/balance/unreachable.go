package balance

import (
	"slices"

	"cairndock/internal/gateway/upstream"
)

// An upstream that ended alone says nothing of the ones beside it. Where several of a zone
// refuse one request, the zone has probably lost them together, and where one does not
// answer, its zone is probably cut off or without power. A request that went through such a
// zone's upstreams one by one would be given up before it reached a running one.
const (
	// refusedPerZone is how many upstreams of a zone refuse a request until the zone's
	// others come last for it.
	refusedPerZone = 2
	// refusedPerRegion is the same of a region: more than one of its zones is concerned.
	refusedPerRegion = 3
)

// besideUnreachable reports whether an upstream comes last for the request, as it could
// reach none of others around it.
func (q *Query) besideUnreachable(u *upstream.Upstream) bool {
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
	return zone >= refusedPerZone || region >= refusedPerRegion
}
