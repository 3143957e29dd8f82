package balance

import (
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
)

const (
	// rejectAbove is the load, in an upstream's capacities, from which it
	// takes no request of the top priority. A request above it waits beyond
	// its objective; rejected at once, it is served in time by its next try
	// more often. Of 100 responses 92.1 came in time at 1.85, 90.7 at 1.4,
	// 91.2 at 3 and 90.4 at 4; docs/design/platform.md has plays of whole days.
	rejectAbove = 1.85
	// rejectStep is how much lower, in capacities, the limit is for each next
	// priority, so that the more urgent requests find room. With it, a day of
	// faults rejected 43 of 1,000 requests of priority 2 and 21 of priority 1.
	rejectStep = 0.25
	// lowestPriority is the one from which on all requests have the same
	// limit, 1.1 capacities.
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
