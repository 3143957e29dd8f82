package balance

import (
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
)

const (
	// rejectAbove is the load, in an upstream's capacities, at which the upstream stops
	// accepting requests of the top priority. A request accepted above this load waits
	// longer than its objective; if the request is rejected at once, its retry is more
	// often served in time. Of 100 responses, 92.1 arrived in time at 1.85, 90.7 at 1.4,
	// 91.2 at 3 and 90.4 at 4. docs/design/platform.md has simulations of whole days.
	rejectAbove = 1.85
	// rejectStep is how much the limit falls, in capacities, with each lower priority, so
	// that capacity remains for more urgent requests. With this step, a day with
	// faults rejected 43 of 1,000 requests of priority 2 and 21 of priority 1.
	rejectStep = 0.25
	// lowestPriority is the priority from which on all requests have the same limit, 1.1
	// capacities.
	lowestPriority = 3
)

// admission decides whether an upstream accepts a request.
type admission struct {
	policy Policy
	now    time.Time
	// threshold is the load, in capacities, at which an upstream stops accepting requests
	// of this priority.
	threshold float64
	// warmUpRate is the rate of requests per second that a cold upstream can serve from
	// all hosts together.
	warmUpRate float64
	quotas     WarmUpQuotas
	// zoneCopies is set if the request is served by the copies of its zone.
	zoneCopies bool
}

// check returns Chosen if the upstream accepts the request: its load is below limit, in
// capacities, and the upstream is warm or this host has warm-up quota left for it.
// Otherwise check returns the reason for the rejection.
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

// quota returns this host's warm-up quota for an upstream.
func (a admission) quota(u *upstream.Upstream) warmup.Quota {
	return a.quotas.WarmUpQuota(u.ID, u.Region, a.warmUpRate)
}
