package balance

const (
	// preferenceListSize is how many upstreams serve a key. At any other one
	// the object is not warm, and a request takes about three times as long.
	// Worth of cacf-ruteo scale-1, all rejecting at 3 capacities: 0.753 with
	// 2, 0.577 with 3; 0.062 when load was weighed against affinity over all
	// upstreams (docs/design/platform.md).
	preferenceListSize = 2
	// spillAbove is the load, in capacities, from which a request goes to the
	// next upstream of its key's preference list. Chosen together with
	// rejectAbove (1.5 with 3, then 1.3 with 1.6: worth of cacf-ruteo scale-1
	// 0.753 to 0.760); not measured alone.
	spillAbove = 1.3
	// spillBelow is the load from which an upstream takes no request that
	// spills from another one. Spilled at any load, below 0.9 and below 0.5,
	// the worth of cacf-ruteo scale-1 was 0.759, 0.763 and 0.763, and of
	// trouble-2 0.721, 0.731 and 0.727: each difference is noise, but
	// responses within their objective rose on all three days tried.
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
