package balance

const (
	// preferenceListSize is the number of upstreams that serve a key. On any other
	// upstream the object is not warm, and a request takes about three times as long.
	preferenceListSize = 2
	// spillAbove is the load, in capacities, from which a request goes to the next
	// upstream of its key's preference list.
	spillAbove = 1.3
	// spillBelow is the load, in capacities, from which an upstream accepts no request
	// that spills from another one. Above it the upstream is about as busy as the other
	// one, and the object is not warm there.
	spillBelow = 0.9
)

// pickPreferred returns the rank of the upstream that serves a request with affinity. This
// is the first upstream of the key's preference list that accepts the request, unless its
// load is SpillAbove or more and the load of a later upstream is below SpillBelow.
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
