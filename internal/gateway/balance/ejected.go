package balance

const (
	// lastCost is added to the cost of an upstream that is ejected or otherwise comes
	// last. It is above every other cost (at most twice affinitySpread).
	lastCost = 4 * affinitySpread
	// maxEjectedPart is the part of a request's upstreams above which
	// ejections are ignored: when most of them fail, the fault is more likely
	// elsewhere, such as the host's own network.
	maxEjectedPart = 0.5
	// maxHealthyLoad is the mean load of the other upstreams, in capacities,
	// above which ejections are ignored: they could not bear the load of the
	// ejected ones, whose keys take them longer at first.
	maxHealthyLoad = 0.6
)

// honorEjections decides whether ejected upstreams are put behind all others: most
// are not ejected, and those have room. Ejected ones are never removed, so that a
// wrong ejection can't leave a service without upstreams.
func (s *summary) honorEjections(q Query) bool {
	ejected, healthy, healthyLoad := 0, 0, 0.0
	for _, r := range s.regions {
		if q.allows(r.region) {
			ejected += r.ejected
			healthy += r.healthy
			healthyLoad += r.healthyLoad
		}
	}
	if float64(ejected) > maxEjectedPart*float64(ejected+healthy) {
		return false
	}
	return healthyLoad <= maxHealthyLoad*float64(healthy)
}
