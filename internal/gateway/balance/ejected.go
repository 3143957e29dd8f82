package balance

const (
	// ejectedCost is added to the cost of an ejected upstream. It is above
	// every other cost (at most twice affinitySpread), so that ejected
	// upstreams come last.
	ejectedCost = 4 * affinitySpread
	// maxEjectedPart is the part of a request's upstreams above which
	// ejections are ignored: when most of them fail, the fault is more likely
	// elsewhere, such as the host's own network. Chosen, not measured.
	maxEjectedPart = 0.5
	// maxHealthyLoad is the mean load of the other upstreams, in capacities,
	// above which ejections are ignored: they could not bear the load of the
	// ejected ones, whose keys take them longer at first. Worth of cacf-ruteo
	// trouble-1: 0.550 without this limit, 0.612 with it; no other value was
	// tried.
	maxHealthyLoad = 0.6
)

// deprioritizeEjected puts ejected upstreams behind all others. It never
// removes them, so that a wrong ejection can't leave a service without
// upstreams.
func deprioritizeEjected(list []scored) {
	if !honorEjections(list) {
		return
	}
	for i := range list {
		if list[i].ejected {
			list[i].cost += ejectedCost
		}
	}
}

// honorEjections decides whether ejected upstreams are put last: some are
// ejected, most are not, and those have room.
func honorEjections(list []scored) bool {
	ejected, healthyLoad := 0, 0.0
	for i := range list {
		if list[i].ejected {
			ejected++
			continue
		}
		healthyLoad += list[i].load
	}
	if ejected == 0 || float64(ejected) > maxEjectedPart*float64(len(list)) {
		return false
	}
	healthy := len(list) - ejected
	return healthyLoad/float64(healthy) <= maxHealthyLoad
}
