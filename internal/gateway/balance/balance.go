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

// WarmUpQuotas divides the request rate of a cold upstream among the hosts.
type WarmUpQuotas interface {
	// WarmUpQuota returns this host's share of rate, the requests per second that a cold
	// upstream of a region can serve from all hosts together.
	WarmUpQuota(upstream, region string, rate float64) warmup.Quota
}

// OutlierDetector reports which upstreams are ejected because of failed or overdue
// requests.
type OutlierDetector interface {
	Ejected(run upstream.Run, now time.Time) bool
}

// Notices provides the notices that upstreams send about themselves. *notice.Table
// implements it.
type Notices interface {
	// Withheld returns why an upstream must get no request now, or the zero value if it
	// may get one.
	Withheld(u *upstream.Upstream, now time.Time) notice.Withheld
	// BackoffElsewhere reports whether an upstream has requested a backoff from another host.
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
	// unclaimed holds reports that other hosts received, of runs without a state.
	unclaimed unclaimedReports
	// reserved holds the fractions of capacity that requests bound to a region need.
	reserved reservations
	// summaries holds the summary of each list of upstreams, by the first upstream of the
	// list.
	summaries map[*upstream.Upstream]*summary
	// indexes holds the index of each list of upstreams, by the memory of the list.
	indexes map[**upstream.Upstream]*index
}

// state holds the load and the recent requests of one run of an upstream, as this host
// sees them.
type state struct {
	load loadEstimate
	// upstream is the upstream as it was last chosen; nil before the first choice.
	upstream *upstream.Upstream
	// sends are the recent requests for which the upstream was chosen.
	sends warmup.Sends
	// chosenAt is when the upstream was chosen for each outstanding request.
	chosenAt []time.Time
}

// New returns a balancer for a host at a location. The policy p sets its limits and costs.
func New(location Location, quotas WarmUpQuotas, detector OutlierDetector, p Policy) *Balancer {
	return &Balancer{location: location, quotas: quotas, detector: detector, policy: p, states: map[upstream.Run]*state{}, unclaimed: unclaimedReports{}, summaries: map[*upstream.Upstream]*summary{}, indexes: map[**upstream.Upstream]*index{}, notices: noNotices{}}
}

// HonorNotices sets the notices that exclude upstreams from new requests. It must be
// called before the balancer is used.
func (b *Balancer) HonorNotices(n Notices) { b.notices = n }

// noNotices implements Notices for balancers that get no notices.
type noNotices struct{}

func (noNotices) Withheld(*upstream.Upstream, time.Time) notice.Withheld { return notice.Withheld{} }
func (noNotices) Take(*upstream.Upstream, time.Time)                     {}
func (noNotices) BackoffElsewhere(upstream.Run, time.Time) bool          { return false }

// Suspended ages the load reports by gap, the time for which the machine was suspended.
// Requests sent to cold upstreams are not aged: they only use up quota for longer than
// necessary.
func (b *Balancer) Suspended(gap time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if !s.load.reportedAt.IsZero() {
			s.load.reportedAt = s.load.reportedAt.Add(-gap)
		}
		if !s.load.own.at.IsZero() {
			s.load.own.at = s.load.own.at.Add(-gap)
		}
	}
	clear(b.unclaimed)
}

// Choose chooses an upstream and counts the request as outstanding there until Done. If
// the request is rejected, the choice is the first upstream in order, so that the log can
// report its load and whether it was cold. With NoUpstream and AllWithheld the choice has
// no upstream.
func (b *Balancer) Choose(q Query) (Choice, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list, withheld, pick := b.candidates(q)
	if len(list) == 0 {
		return Choice{Withheld: withheld}, withheld.reason()
	}
	a := admission{policy: b.policy, now: q.Now, threshold: b.policy.rejectThreshold(q.Priority), warmUpRate: q.WarmUpRate, quotas: b.quotas, zoneCopies: b.policy.usesZoneCopies(q)}
	rank, reason := pick(list, a)
	chosen := &list[rank]
	choice := Choice{
		Upstream: chosen.upstream,
		Load:     chosen.load,
		LoadAge:  chosen.state.load.reportAge(q.Now),
		Rank:     rank,
		Cold:     chosen.upstream.Cold(q.Now),
		Withheld: withheld,
	}
	if reason == Chosen {
		choice.PassedOver = passedOver(list, rank, a)
		b.notices.Take(chosen.upstream, q.Now)
		chosen.state.load.outstanding++
		chosen.state.chosenAt = append(chosen.state.chosenAt, q.Now)
		chosen.state.upstream = chosen.upstream
		choice.chosenAt = q.Now
		choice.send = chosen.state.sends.Add(q.Now, choice.Cold)
	}
	if choice.Cold {
		choice.WarmUp = warmUp(chosen, a)
	}
	return choice, reason
}

// candidates returns the upstreams that may serve a request, in the order in which they are
// tried, those that were withheld, and what picks one of them.
func (b *Balancer) candidates(q Query) ([]scored, Withheld, picker) {
	if q.NoAffinity {
		list, withheld := b.ordered(q)
		return list, withheld, pickLeastLoaded
	}
	return b.preferenceList(q)
}

// warmUp returns how much of this host's quota for a cold upstream is used.
func warmUp(u *scored, a admission) WarmUp {
	cold := u.state.sends.Cold(a.now)
	return WarmUp{Quota: a.quota(u.upstream), Sent: cold, SentWarm: u.state.sends.Count(a.now) - cold}
}

// scored is an upstream with the values that decide whether a request goes there.
type scored struct {
	upstream *upstream.Upstream
	state    *state
	// cost orders the upstreams; the upstream with the lowest cost is tried first.
	cost float64
	// load is the estimated load, in the upstream's capacities.
	load float64
	// expected is the expected load, in the upstream's capacities, with the cost of another
	// region; only set with Policy.EvenLoad. Unlike load, it does not take an upstream without a recent report
	// for an idle one.
	expected float64
	// triedLast means that the upstream is tried after all others; only set with
	// Policy.EvenLoad.
	triedLast bool
}

// ordered returns the upstreams that may serve a request without affinity and were not
// tried yet, in the order in which they are tried. It also returns the upstreams that were
// withheld.
func (b *Balancer) ordered(q Query) ([]scored, Withheld) {
	key := xxhash.Sum64String(q.Key)
	sum := b.summary(q)
	o := b.order(key, q, sum)
	ejections := b.honorsEjections(q, sum)
	list := make([]scored, 0, len(q.Upstreams))
	var withheld Withheld
	for _, u := range q.Upstreams {
		if slices.Contains(q.Tried, u.ID) || !q.allows(u.Region) || withheld.add(b.notices.Withheld(u, q.Now)) {
			continue
		}
		x := b.score(u, o.cost(u, key^u.Seed()), q.Now)
		if b.isTriedLast(u, &q, ejections) {
			x.cost += triedLastCost
		}
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y scored) int { return cmp.Compare(x.cost, y.cost) })
	return list, withheld
}

// honorsEjections reports whether ejected upstreams are tried last for a request.
func (b *Balancer) honorsEjections(q Query, sum *summary) bool {
	return b.policy.Ejections && sum.honorEjections(q)
}

// isTriedLast reports whether an upstream is tried after all others. An upstream is tried
// last if it is ejected or refuses requests of another host, while ejections are honored,
// or if it is close to upstreams that the request could not reach.
func (b *Balancer) isTriedLast(u *upstream.Upstream, q *Query, ejections bool) bool {
	return ejections && b.avoided(u, q.Now) || q.isNearUnreachable(u)
}

// avoided reports whether an upstream is ejected or refuses requests of another host.
func (b *Balancer) avoided(u *upstream.Upstream, now time.Time) bool {
	return b.detector.Ejected(u.Run(), now) || b.notices.BackoffElsewhere(u.Run(), now)
}

// order returns the order of upstreams for a request whose key has the given hash.
func (b *Balancer) order(key uint64, q Query, sum *summary) order {
	return order{location: b.location, noAffinity: q.NoAffinity, regionCost: b.policy.RegionCost, region: b.servingRegion(key, q, sum)}
}

// score returns an upstream with its cost, state and estimated load.
func (b *Balancer) score(u *upstream.Upstream, cost float64, now time.Time) scored {
	s := b.state(u)
	return scored{upstream: u, state: s, cost: cost, load: s.load.inCapacities(now, u.Capacity, b.policy.ReportTTLIntervals)}
}

func (b *Balancer) state(u *upstream.Upstream) *state {
	run := u.Run()
	s := b.states[run]
	if s == nil {
		s = &state{}
		b.states[run] = s
		if r := b.unclaimed.claim(run); !r.at.IsZero() {
			s.merge(r, b.policy)
		}
	}
	return s
}

// Sent records that the request of a choice was sent at now. From then on the request uses
// the host's warm-up quota for as long as any sent request does.
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
	if i := slices.Index(s.chosenAt, c.chosenAt); i >= 0 {
		s.chosenAt = slices.Delete(s.chosenAt, i, i+1)
	}
	c.send.End()
}

// InFlight returns the number of requests in flight at the upstreams that match.
func (b *Balancer) InFlight(match func(*upstream.Upstream) bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, s := range b.states {
		if s.load.outstanding > 0 && s.upstream != nil && match(s.upstream) {
			count += s.load.outstanding
		}
	}
	return count
}

// ObserveLoad records an upstream's own report of its running and waiting requests.
func (b *Balancer) ObserveLoad(u *upstream.Upstream, running, waiting int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.policy.LoadReports {
		b.state(u).load.observe(running+waiting, now, b.policy.EvenLoad)
	}
}

// Retain drops the state of runs for which keep returns false. It keeps the state of runs
// with outstanding requests or with requests that still use warm-up quota, because an
// upstream whose entry reappears is the same run.
func (b *Balancer) Retain(keep func(upstream.Run) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.summaries)
	clear(b.indexes)
	maps.DeleteFunc(b.unclaimed, func(run upstream.Run, _ report) bool { return !keep(run) })
	maps.DeleteFunc(b.states, func(run upstream.Run, s *state) bool {
		return !keep(run) && s.load.outstanding == 0 && s.sends.Count(now) == 0
	})
}
