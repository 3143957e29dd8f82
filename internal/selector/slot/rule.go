package slot

import "time"

// maxRateCredit is how many requests a rule's rate may save up, so that idle
// time buys no burst: at most one more than the rate in any time.
const maxRateCredit = 1.0

// RuleSpec describes a rule to a pool.
type RuleSpec struct {
	// Name is the rule's name.
	Name string
	// Upstreams are the rule's upstreams, as indexes into the pool's specs.
	Upstreams []int32
	// InFlight bounds the rule's outstanding requests here; negative is none.
	InFlight int
	// Rate bounds the rule's requests per second here; negative is none.
	Rate float64
}

// rule is the state of a rule in a pool.
type rule struct {
	upstreams   []*upstream
	inFlight    int
	outstanding int
	rate        float64
	// credit is how many requests the rate left room for at filledAt.
	credit   float64
	filledAt int64
}

// configure sets the rule's limits. Its outstanding requests and its credit
// stay.
func (r *rule) configure(s RuleSpec, upstreams []*upstream) {
	r.inFlight, r.rate = s.InFlight, s.Rate
	r.upstreams = make([]*upstream, 0, len(s.Upstreams))
	for _, i := range s.Upstreams {
		r.upstreams = append(r.upstreams, upstreams[i])
	}
}

// admits brings the rule's credit up to now and reports whether its limits
// leave room for a request.
func (r *rule) admits(now int64) bool {
	if r.inFlight >= 0 && r.outstanding >= r.inFlight {
		return false
	}
	if r.rate < 0 {
		return true
	}
	elapsed := float64(now-r.filledAt) / float64(time.Second)
	r.filledAt = now
	r.credit = min(maxRateCredit, r.credit+elapsed*r.rate)
	return r.credit >= 1
}

// took counts a request that got a slot.
func (r *rule) took() {
	r.outstanding++
	if r.rate >= 0 {
		r.credit--
	}
}
