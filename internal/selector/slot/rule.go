package slot

import "time"

// maxRateCredit is the maximum number of requests that may accumulate under a rule's
// rate limit. It prevents bursts after idle time: in any period, at most one
// request more than the rate allows is sent.
const maxRateCredit = 1.0

// RuleSpec describes a rule to a pool.
type RuleSpec struct {
	// Name is the rule's name.
	Name string
	// Upstreams are the rule's upstreams, as indexes into the pool's specs.
	Upstreams []int32
	// InFlight limits the rule's outstanding requests at this host; a negative
	// value means no limit.
	InFlight int
	// Rate limits the rule's requests per second at this host; a negative value
	// means no limit.
	Rate float64
}

// rule is the state of a rule in a pool.
type rule struct {
	upstreams   []*upstream
	inFlight    int
	outstanding int
	rate        float64
	// credit is the number of requests that the rate limit allowed at filledAt.
	credit   float64
	filledAt int64
}

// configure sets the rule's limits and upstreams. The count of outstanding requests
// and the credit are kept.
func (r *rule) configure(s RuleSpec, upstreams []*upstream) {
	r.inFlight, r.rate = s.InFlight, s.Rate
	r.upstreams = make([]*upstream, 0, len(s.Upstreams))
	for _, i := range s.Upstreams {
		r.upstreams = append(r.upstreams, upstreams[i])
	}
}

// admits updates the rule's credit and reports whether its limits allow one more
// request.
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

// requestSent records a request that was granted a slot.
func (r *rule) requestSent() {
	r.outstanding++
	if r.rate >= 0 {
		r.credit--
	}
}
