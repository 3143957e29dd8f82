package balance

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
)

// WarmUpQuotas splits the rate of a cold upstream over the hosts.
type WarmUpQuotas interface {
	// WarmUpQuota returns this host's part of the requests a second to a cold
	// upstream of a region that bears a rate of them from all hosts together.
	WarmUpQuota(upstream, region string, rate float64) warmup.Quota
}

// OutlierDetector knows which upstreams are ejected for failed or overdue
// requests.
type OutlierDetector interface {
	Ejected(run upstream.Run, now time.Time) bool
}

// Notices knows what upstreams say of themselves. *notice.Table implements it.
type Notices interface {
	// Withheld returns why an upstream gets no request now; the zero value if it may.
	Withheld(u *upstream.Upstream, now time.Time) notice.Withheld
	// BackoffElsewhere reports whether an upstream wants none of another host.
	BackoffElsewhere(run upstream.Run, now time.Time) bool
	// Take counts a request for which an upstream was chosen.
	Take(u *upstream.Upstream, now time.Time)
}

// Balancer chooses upstreams for one host. It is safe for concurrent use.
type Balancer struct {
	location Location
	quotas   WarmUpQuotas
	detector OutlierDetector
	policy   Policy
	notices  Notices

	mu     sync.Mutex
	states map[upstream.Run]*state
	// reserved are the parts of capacity that requests bound to a region need.
	reserved reservations
	// summaries has that of each list of upstreams, by its first one.
	summaries map[*upstream.Upstream]*summary
}

// state is what the host knows of one run of an upstream.
type state struct {
	load loadEstimate
	// sends are the last requests for which it was chosen.
	sends warmup.Sends
}

// New makes a balancer for a host at a location, which decides by a policy.
func New(location Location, quotas WarmUpQuotas, detector OutlierDetector, p Policy) *Balancer {
	return &Balancer{location: location, quotas: quotas, detector: detector, policy: p, states: map[upstream.Run]*state{}, summaries: map[*upstream.Upstream]*summary{}, notices: noNotices{}}
}

// HonorNotices has upstreams that say that they take no request now get none. It is
// called before the balancer is used.
func (b *Balancer) HonorNotices(n Notices) { b.notices = n }

// noNotices is for balancers to which upstreams say nothing.
type noNotices struct{}

func (noNotices) Withheld(*upstream.Upstream, time.Time) notice.Withheld { return notice.Withheld{} }
func (noNotices) Take(*upstream.Upstream, time.Time)                     {}
func (noNotices) BackoffElsewhere(upstream.Run, time.Time) bool          { return false }

// Suspended has load reports be older by the time for which the machine was suspended.
// What was sent to cold upstreams is not: it counts for longer than it has to.
func (b *Balancer) Suspended(gap time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if !s.load.reportedAt.IsZero() {
			s.load.reportedAt = s.load.reportedAt.Add(-gap)
		}
	}
}

// Choose chooses an upstream and counts the request as outstanding there
// until Done. When it rejects the request, the choice is the first upstream in
// order, so that the log can say what its load was and whether it was cold;
// with NoUpstream it is the zero value.
func (b *Balancer) Choose(q Query) (Choice, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list, held := b.preferenceList(q)
	pick := pickPreferred
	if q.NoAffinity {
		list, held = b.ordered(q)
		pick = pickLeastLoaded
	}
	if len(list) == 0 {
		return Choice{Withheld: held}, held.reason()
	}
	a := admission{policy: b.policy, now: q.Now, threshold: b.policy.rejectThreshold(q.Priority), warmUpRate: q.WarmUpRate, quotas: b.quotas}
	rank, reason := pick(list, a)
	chosen := &list[rank]
	choice := Choice{
		Upstream: chosen.upstream,
		Load:     chosen.load,
		LoadAge:  chosen.state.load.reportAge(q.Now),
		Rank:     rank,
		Cold:     chosen.upstream.Cold(q.Now),
		Withheld: held,
	}
	if reason == Chosen {
		b.notices.Take(chosen.upstream, q.Now)
		chosen.state.load.outstanding++
		choice.send = chosen.state.sends.Add(q.Now, choice.Cold)
	}
	if choice.Cold {
		choice.WarmUp = warmUp(chosen, a)
	}
	return choice, reason
}

// warmUp says how much of this host's quota at a cold upstream is used.
func warmUp(u *scored, a admission) WarmUp {
	cold := u.state.sends.Cold(a.now)
	return WarmUp{Quota: a.quota(u.upstream), Sent: cold, SentWarm: u.state.sends.Count(a.now) - cold}
}

// scored is an upstream with what decides whether one request goes there.
type scored struct {
	upstream *upstream.Upstream
	state    *state
	// cost orders the upstreams; the lowest is tried first.
	cost float64
	// load is the estimated load, in the upstream's capacities.
	load float64
}

// ordered returns the upstreams that may serve a request without affinity and were
// not tried yet, in the order in which they are tried, and what was withheld from it.
func (b *Balancer) ordered(q Query) ([]scored, Withheld) {
	key := xxhash.Sum64String(q.Key)
	sum := b.summary(q)
	o := b.order(key, q, sum)
	ejections := b.honorsEjections(q, sum)
	list := make([]scored, 0, len(q.Upstreams))
	var held Withheld
	for _, u := range q.Upstreams {
		if slices.Contains(q.Tried, u.ID) || !q.allows(u.Region) || held.add(b.notices.Withheld(u, q.Now)) {
			continue
		}
		x := b.scored(u, o.cost(u, key^u.Seed()), q.Now)
		if b.comesLast(u, &q, ejections) {
			x.cost += lastCost
		}
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y scored) int { return cmp.Compare(x.cost, y.cost) })
	return list, held
}

// honorsEjections reports whether ejected upstreams come last for a request.
func (b *Balancer) honorsEjections(q Query, sum *summary) bool {
	return b.policy.Ejections && sum.honorEjections(q)
}

// comesLast reports whether an upstream is tried after all others: it is ejected or refuses
// another host, while ejections are honored, or is beside ones that the request could not
// reach.
func (b *Balancer) comesLast(u *upstream.Upstream, q *Query, ejections bool) bool {
	return ejections && b.avoided(u, q.Now) || q.besideUnreachable(u)
}

// avoided reports whether an upstream is ejected, or refuses another host.
func (b *Balancer) avoided(u *upstream.Upstream, now time.Time) bool {
	return b.detector.Ejected(u.Run(), now) || b.notices.BackoffElsewhere(u.Run(), now)
}

// order is the one of the upstreams for a request with a key's hash.
func (b *Balancer) order(key uint64, q Query, sum *summary) order {
	return order{location: b.location, noAffinity: q.NoAffinity, regionCost: b.policy.RegionCost, region: b.servingRegion(key, q, sum)}
}

// scored gives an upstream of a cost what else decides whether it takes a request.
func (b *Balancer) scored(u *upstream.Upstream, cost float64, now time.Time) scored {
	s := b.state(u)
	return scored{upstream: u, state: s, cost: cost, load: s.load.inCapacities(now, u.Capacity, b.policy.ReportLasts)}
}

func (b *Balancer) state(u *upstream.Upstream) *state {
	run := u.Run()
	s := b.states[run]
	if s == nil {
		s = &state{}
		b.states[run] = s
	}
	return s
}

// Sent notes that the request of a choice was sent. It counts against the host's
// warm-up quota from now on for as long as any request does.
func (b *Balancer) Sent(c Choice, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.send.Sent(now)
}

// Done ends the request of a choice.
func (b *Balancer) Done(c Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(c.Upstream)
	s.load.outstanding = max(0, s.load.outstanding-1)
	c.send.End()
}

// ObserveLoad records an upstream's own report of its load, in requests.
func (b *Balancer) ObserveLoad(u *upstream.Upstream, running, waiting int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.policy.LoadReports {
		b.state(u).load.observe(running+waiting, now)
	}
}

// Retain drops the state of the runs that keep rejects, except those with
// outstanding requests, or requests that still count against a warm-up quota: an
// upstream whose entry comes back is the same one.
func (b *Balancer) Retain(keep func(upstream.Run) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.summaries)
	maps.DeleteFunc(b.states, func(run upstream.Run, s *state) bool {
		return !keep(run) && s.load.outstanding == 0 && s.sends.Count(now) == 0
	})
}
