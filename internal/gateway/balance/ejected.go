package balance

const (
	// triedLastCost is added to the cost of an upstream that is ejected or is tried last
	// for another reason. It is above every other cost (at most twice affinitySpread).
	triedLastCost = 4 * affinitySpread
	// maxEjectedFraction is the fraction of a request's upstreams above which ejections
	// are ignored. If most upstreams fail, the fault is more likely elsewhere, such as in
	// the host's own network.
	maxEjectedFraction = 0.5
	// maxHealthyLoad is the mean load of the other upstreams, in capacities, above which
	// ejections are ignored. Above this load the other upstreams could not take over the
	// load of the ejected ones, because their requests for these keys take longer at
	// first.
	maxHealthyLoad = 0.6
)

// honorEjections reports whether ejected upstreams are tried after all others: most
// upstreams are not ejected, and these have free capacity. Ejected upstreams are never
// removed from the list, so that a wrong ejection can't leave a service without upstreams.
func (s *summary) honorEjections(q Query) bool {
	ejected, healthy, healthyLoad := 0, 0, 0.0
	for _, r := range s.regions {
		if q.allows(r.region) {
			ejected += r.ejected
			healthy += r.healthy
			healthyLoad += r.healthyLoad
		}
	}
	if float64(ejected) > maxEjectedFraction*float64(ejected+healthy) {
		return false
	}
	return healthyLoad <= maxHealthyLoad*float64(healthy)
}
