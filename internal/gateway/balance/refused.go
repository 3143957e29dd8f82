package balance

import "cairndock/internal/gateway/upstream"

// An upstream that ended alone says nothing of the ones beside it. Where several of a zone
// refuse one request, the zone has probably lost them together, and a request that went
// through them one by one would be given up before it reached a running one.
const (
	// refusedPerZone is how many upstreams of a zone refuse a request until the zone's
	// others come last for it.
	refusedPerZone = 2
	// refusedPerRegion is the same of a region: more than one of its zones is concerned.
	refusedPerRegion = 3
)

// refusedAround reports whether so many upstreams refused the request in the zone or the
// region of another one that this one comes last.
func (q Query) refusedAround(u *upstream.Upstream) bool {
	zone, region := 0, 0
	for _, r := range q.Refused {
		if r.Region != u.Region {
			continue
		}
		region++
		if r.Zone == u.Zone {
			zone++
		}
	}
	return zone >= refusedPerZone || region >= refusedPerRegion
}
