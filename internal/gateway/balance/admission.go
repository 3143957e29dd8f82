package balance

import (
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
)

const (
	// rejectAbove is the load, in an upstream's capacities, from which it
	// takes no request of the top priority. A request above it waits longer
	// than it is worth; rejected at once, it is served in time by its next
	// try more often. Worth of cacf-ruteo scale-1, trouble-1 and renkoda-mix
	// scale-1: 0.764, 0.595, 0.613 at 1.6; 0.767, 0.613, 0.618 at 1.85 with
	// rejectStep; 0.753, 0.548, 0.577 at 3; 0.725, 0.529, 0.575 at 4
	// (docs/design/platform.md).
	rejectAbove = 1.85
	// rejectStep is how much lower, in capacities, the limit is for each next
	// priority, so that the more urgent requests find room. With it,
	// cacf-ruteo trouble-1 rejected 784 of 18,422 lookups (priority 2) and 175
	// of 8,173 bookings (priority 1).
	rejectStep = 0.25
	// lowestPriority is the one from which on all requests have the same
	// limit, 1.1 capacities. Chosen, not measured.
	lowestPriority = 3
)

// admission decides whether an upstream takes one request.
type admission struct {
	policy Policy
	now    time.Time
	// threshold is the load, in capacities, from which an upstream takes no
	// request of this priority.
	threshold float64
	// warmUpRate is how many requests a second a cold upstream bears from
	// all hosts.
	warmUpRate float64
	quotas     WarmUpQuotas
}

// check returns Chosen when an upstream takes the request: its load is below
// the limit, in capacities, and it is warm or this host's quota for it is not
// used up. Otherwise it returns why not.
func (a admission) check(u *scored, limit float64) Reason {
	if u.load >= limit {
		return Overloaded
	}
	if !u.upstream.Cold(a.now) {
		return Chosen
	}
	if u.state.sends.Count(a.now) >= a.quota(u.upstream).Requests {
		return WarmUpLimited
	}
	return Chosen
}

// quota returns this host's warm-up quota at an upstream.
func (a admission) quota(u *upstream.Upstream) warmup.Quota {
	return a.quotas.WarmUpQuota(u.ID, u.Region, a.warmUpRate)
}
