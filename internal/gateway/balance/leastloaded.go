package balance

// sampleSize is how many upstreams a request without affinity compares first. Three are
// enough to find a free upstream, and few enough that hosts with the same load estimates
// do not all choose the same upstream.
const sampleSize = 3

// tier is a range of the ordered upstreams that are compared with each other, with the
// load, in capacities, at which upstreams of the range are skipped.
type tier struct {
	from, to int
	limit    float64
}

// pickLeastLoaded returns the rank of the upstream that serves a request without affinity:
// the least loaded upstream of the first tier in which an upstream accepts the request. A
// preference list of two upstreams, ordered by the request's ID, rejects requests while
// other upstreams have free capacity (docs/design/platform.md has simulations of both).
func pickLeastLoaded(list []scored, a admission) (int, Reason) {
	zone := below(list, crossZoneCost)
	region := below(list, affinitySpread)
	tiers := [...]tier{
		// A sample of the host's own zone, then of the rest of the key's region.
		{0, min(sampleSize, zone), a.policy.SpillBelow},
		{zone, min(zone+sampleSize, region), a.policy.SpillBelow},
		// The whole region while it is not busy, then the other regions.
		{0, region, min(a.threshold, a.policy.SpillAbove)},
		{region, len(list), min(a.threshold, a.policy.SpillBelow)},
		// Any upstream that accepts the request at all.
		{0, len(list), a.threshold},
	}
	reason := Overloaded
	for _, t := range tiers {
		var best int
		best, reason = leastLoaded(list[t.from:t.to], a, t.limit)
		if best >= 0 {
			return t.from + best, Chosen
		}
	}
	return 0, reason
}

// below returns how many of the ordered upstreams cost less than bound.
func below(list []scored, bound float64) int {
	for i := range list {
		if list[i].cost >= bound {
			return i
		}
	}
	return len(list)
}

// leastLoaded returns the index of the least loaded upstream that accepts the request and
// whose load is below limit. If there is none, it returns -1 and the reason.
func leastLoaded(list []scored, a admission, limit float64) (int, Reason) {
	best, reason := -1, Overloaded
	for i := range list {
		switch a.check(&list[i], limit) {
		case Chosen:
			best, limit = i, list[i].load
		case WarmUpLimited:
			reason = WarmUpLimited
		}
	}
	return best, reason
}
