package balance

// sampleSize is how many upstreams a request without affinity compares first:
// enough to find one that is free, and few enough that hosts that know the
// same loads do not all pick the same one.
const sampleSize = 3

// tier is a range of the ordered upstreams that are compared together, and
// the load, in capacities, from which they are passed over.
type tier struct {
	from, to int
	limit    float64
}

// pickLeastLoaded returns the rank of the upstream that takes a request
// without affinity: the least loaded of the first tier that has one. A preference
// list of two by the request's id refuses while others have room
// (docs/design/platform.md has plays of both).
func pickLeastLoaded(list []scored, a admission) (int, Reason) {
	zone := below(list, zoneStep)
	region := below(list, affinitySpread)
	tiers := [...]tier{
		// A sample of the own zone, then of the rest of the key's region.
		{0, min(sampleSize, zone), a.policy.SpillBelow},
		{zone, min(zone+sampleSize, region), a.policy.SpillBelow},
		// The whole region while it is not busy, then the other regions.
		{0, region, min(a.threshold, a.policy.SpillAbove)},
		{region, len(list), min(a.threshold, a.policy.SpillBelow)},
		// Any upstream that takes the request at all.
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

// below returns how many of the ordered upstreams cost less than a bound.
func below(list []scored, bound float64) int {
	for i := range list {
		if list[i].cost >= bound {
			return i
		}
	}
	return len(list)
}

// leastLoaded returns the index of the least loaded upstream below a limit
// that takes the request, or -1 and why none does.
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
