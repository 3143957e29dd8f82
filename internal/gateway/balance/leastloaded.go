package balance

import "cairndock/internal/gateway/upstream"

const (
	// choices is how many upstreams a request that gains nothing from its
	// homes compares: enough to find one that is free, and few enough that
	// hosts that know the same loads do not all pick the same.
	sampleSize = 3
)

// tier is a part of the sorted options, which take a request below a load.
type tier struct {
	from, to int
	limit    float64
}

// pickAnywhere gives the least loaded of the first few upstreams of the own
// zone, then of the key's side. When those are busy it looks at the whole
// side and then at the other; only when all are at their limit is the request
// refused.
func (b *Balancer) pickLeastLoaded(options []candidate, q Query) (int, Reason) {
	zone := below(options, b.weights.AffinitySpread/2)
	side := below(options, b.weights.AffinitySpread)
	w, full := b.weights, b.weights.rejectAbove(q.Priority)
	tiers := [...]tier{
		{0, min(sampleSize, zone), w.SpillBelow},
		{zone, min(zone+sampleSize, side), w.SpillBelow},
		{0, side, min(full, w.SpillAbove)},
		{side, len(options), min(full, w.SpillBelow)},
		{0, len(options), full},
	}
	reason := Overloaded
	for _, t := range tiers {
		var best int
		best, reason = b.leastLoaded(options[t.from:t.to], q, t.limit)
		if best >= 0 {
			return t.from + best, Chosen
		}
	}
	return 0, reason
}

// below is how many of the sorted options cost less than a bound.
func below(options []candidate, bound float64) int {
	for i, o := range options {
		if o.cost >= bound {
			return i
		}
	}
	return len(options)
}

// leastLoaded gives the option with the least load below a limit that may
// take the request, or -1 and what is wrong with the others.
func (b *Balancer) leastLoaded(options []candidate, q Query, limit float64) (int, Reason) {
	best, reason := -1, Overloaded
	for i, o := range options {
		if o.load >= limit || best >= 0 && o.load >= options[best].load {
			continue
		}
		if !b.withinWarmUpQuota(o, q) {
			reason = WarmUpLimited
			continue
		}
		best = i
	}
	return best, reason
}

// anywhereCost orders upstreams for a request that gains nothing from its
// homes: those of the own zone, of the rest of the key's side, and of the
// other side, each by chance.
func (b *Balancer) distanceCost(m *upstream.Upstream, hash uint64, near bool) float64 {
	half := b.weights.AffinitySpread / 2
	cost := unit(mix(hash)) * half
	if m.Region == b.location.Region && m.Zone != b.location.Zone {
		cost += half
	}
	if (m.Region == b.location.Region) != near {
		cost += b.weights.AffinitySpread
	}
	return cost
}
