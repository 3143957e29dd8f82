package balance

// avoid makes ejected upstreams the last choice, and no more than that, so
// that a wrong belief does not empty a service. When most are ejected, the
// fault is not theirs; and when the others are busy they could not take their
// load, of which each request would take longer there at first.
func (b *Balancer) deprioritizeEjected(options []candidate, ejected int) {
	if ejected == 0 || float64(ejected) > maxEjected*float64(len(options)) || healthyLoad(options) > maxHealthyLoad {
		return
	}
	for i := range options {
		if options[i].ejected {
			options[i].cost += ejectedCost * b.weights.AffinitySpread
		}
	}
}

// maxEjected is the part of a request's upstreams above which ejections do
// not count, and maxSoundLoad the mean load of the others.
const (
	maxEjected     = 0.5
	maxHealthyLoad = 0.6
)

// soundLoad is the mean load of the upstreams that are not ejected.
func healthyLoad(options []candidate) float64 {
	sum, n := 0.0, 0
	for _, o := range options {
		if !o.ejected {
			sum += o.load
			n++
		}
	}
	return sum / float64(max(1, n))
}

// ejectedCost puts ejected upstreams behind all others.
const ejectedCost = 4
