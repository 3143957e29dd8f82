package balance

const (
	// preferenceListSize is how many upstreams serve a key. At any other one
	// the object is not warm, and a request takes about three times as long.
	preferenceListSize = 2
	// spillAbove is the load, in capacities, from which a request goes to the
	// next upstream of its key's preference list.
	spillAbove = 1.3
	// spillBelow is the load from which an upstream takes no request that
	// spills from another one: that one is as full, and does not know the
	// object.
	spillBelow = 0.9
)

// pickPreferred returns the rank of the upstream that takes a request with
// affinity: the first in the key's preference list that takes it, unless its
// load is SpillAbove or more and a later one's is below SpillBelow.
func pickPreferred(list []scored, a admission) (int, Reason) {
	first, reason := -1, Overloaded
	for i := range list[:min(len(list), a.policy.PreferenceList)] {
		limit := a.threshold
		if first >= 0 {
			limit = min(limit, a.policy.SpillBelow)
		}
		switch a.check(&list[i], limit) {
		case Overloaded:
			continue
		case WarmUpLimited:
			reason = WarmUpLimited
			continue
		}
		if first >= 0 || list[i].load < a.policy.SpillAbove {
			return i, Chosen
		}
		first = i
	}
	if first < 0 {
		return 0, reason
	}
	return first, Chosen
}
