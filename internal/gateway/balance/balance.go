// Package balance decides which upstream a request goes to. A request's key
// has a home among the upstreams of its service: an upstream that has seen an
// object lately works faster on it, so a key stays at its home while that has
// room, and goes to its next home when it has none.
package balance

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/gateway/upstream"
)

// Weights weigh what speaks for and against an upstream as the home of a
// key. They are costs in one unit: the spread of a key's preferences over all
// upstreams is Affinity.
type Weights struct {
	// Affinity spreads a key's preferences from 0 to itself.
	AffinitySpread float64
	// Away is what it costs to leave the side, the own region or the others,
	// that a key belongs to.
	CrossRegionCost float64
	// Homes is how many upstreams a key may go to. A request elsewhere
	// works so much longer that it takes more than it relieves.
	PreferenceListSize int
	// Busy is the load, in capacities, from which a request goes to the
	// key's next home, and Full the one from which a home takes nothing.
	// Each rank of priority is refused Yield earlier than the one before, so
	// that the more urgent find room.
	SpillAbove  float64
	RejectAbove float64
	RejectStep  float64
	// Spill is the load from which a home other than the first takes no
	// request because the first is busy.
	SpillBelow float64
}

// lowestRank is the priority from which on all are refused alike.
const lowestRank = 3

// full gives the load from which a home takes no request of a priority.
func (w Weights) rejectAbove(priority int) float64 {
	return w.RejectAbove - w.RejectStep*float64(max(0, min(priority, lowestRank)))
}

// DefaultWeights were measured, see docs/design/platform.md.
var DefaultWeights = Weights{AffinitySpread: 10, CrossRegionCost: 3, PreferenceListSize: 2, SpillAbove: 1.3, RejectAbove: 1.85, RejectStep: 0.25, SpillBelow: 0.9}

// Place says where a host is.
type Location struct {
	Zone   string
	Region string
	// Regions is how many regions there are.
	Regions int
}

// Shares gives the host's part of what all hosts may send together.
type WarmUpQuotas interface {
	// ColdRate is how many requests a second this host may send to a cold
	// upstream of a region, of a rate that holds for all hosts together.
	WarmUpQuota(upstream, region string, total float64) int
}

// Judge says which upstreams requests show to be unwell.
type OutlierDetector interface {
	Ejected(upstream string, now time.Time) bool
}

// Reason says why no upstream was chosen.
type Reason uint8

// The reasons.
const (
	// Chosen is no reason: there is a choice.
	Chosen Reason = iota
	// Nobody says that no upstream may serve the request.
	NoCandidates
	// Full says that all are at their limit.
	Overloaded
	// Cold says that what is not full is cold, and has had its share.
	WarmUpLimited
)

// Query is what a choice is made for.
type Query struct {
	// Key is what the request is about, or what else spreads requests.
	Key string
	// Anywhere says that an upstream that served the key before is no better
	// for it.
	NoAffinity bool
	// Candidates are the upstreams of the service.
	Candidates []*upstream.Upstream
	// Allows says in which regions the request may be served; nil is all.
	Allows func(region string) bool
	// Bulk says that the answer is large, and Mixed that the service also
	// serves answers of the other sort.
	Bulk  bool
	Mixed bool
	// Priority is the request's rank under load; 0 is the most urgent.
	Priority int
	// Tried are the ids of upstreams that it was sent to before.
	Tried []string
	// ColdRate is how many requests a second a cold upstream bears from
	// all hosts together.
	WarmUpRate float64
	Now        time.Time
}

// Choice is the upstream chosen, with what decided it.
type Choice struct {
	Upstream *upstream.Upstream
	// Load is its load as the host saw it, and LoadAge the age of what it
	// told of itself; negative when it told nothing.
	Load    float64
	LoadAge time.Duration
	// Rank is how many upstreams the key likes better.
	Rank int
	Cold bool
}

// Balancer keeps what one host knows of each upstream's load.
type Balancer struct {
	location Location
	weights  Weights
	quotas   WarmUpQuotas
	detector OutlierDetector

	mu     sync.Mutex
	states map[string]*state
}

// New makes a balancer for a host at a place.
func New(place Location, weights Weights, shares WarmUpQuotas, judge OutlierDetector) *Balancer {
	return &Balancer{location: place, weights: weights, quotas: shares, detector: judge, states: map[string]*state{}}
}

// option is one candidate with its cost.
type candidate struct {
	upstream *upstream.Upstream
	state    *state
	cost     float64
	load     float64
	// ejected says that the upstream seems to be unwell.
	ejected bool
}

// Choose chooses an upstream and counts the request as outstanding there
// until Done. When it refuses, the choice is the key's first home, so that
// the log can tell what was full or cold.
func (b *Balancer) Choose(q Query) (Choice, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	options := b.candidates(q)
	if len(options) == 0 {
		return Choice{}, NoCandidates
	}
	slices.SortFunc(options, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) })
	rank, reason := b.pick(options, q)
	o := options[rank]
	if reason == Chosen {
		o.state.sent(q.Now, o.upstream.ColdUntil)
	}
	c := Choice{Upstream: o.upstream, Load: o.load, LoadAge: -1, Rank: rank, Cold: q.Now.Before(o.upstream.ColdUntil)}
	if !o.state.reportedAt.IsZero() {
		c.LoadAge = q.Now.Sub(o.state.reportedAt)
	}
	return c, reason
}

// rank gives the place of the option that the request goes to.
func (b *Balancer) pick(options []candidate, q Query) (int, Reason) {
	if q.NoAffinity {
		return b.pickLeastLoaded(options, q)
	}
	return b.pickPreferred(options[:min(len(options), b.weights.PreferenceListSize)], q)
}

// mayTake reports whether the host may send to an upstream now: to a cold
// one only its share.
func (b *Balancer) withinWarmUpQuota(o candidate, q Query) bool {
	if !q.Now.Before(o.upstream.ColdUntil) {
		return true
	}
	return o.state.warmUpSent(q.Now) < b.quotas.WarmUpQuota(o.upstream.ID, o.upstream.Region, q.WarmUpRate)
}

func (b *Balancer) candidates(q Query) []candidate {
	key := xxhash.Sum64String(q.Key)
	near := b.prefersOwnRegion(key, q)
	cost := b.affinityCost
	if q.NoAffinity {
		cost = b.distanceCost
	}
	options := make([]candidate, 0, len(q.Candidates))
	ejected := 0
	for _, m := range q.Candidates {
		if slices.Contains(q.Tried, m.ID) || !q.allows(m.Region) {
			continue
		}
		s := b.state(m.ID)
		o := candidate{upstream: m, state: s, load: s.load(q.Now, m.Capacity), cost: cost(m, key^s.seed, near)}
		if b.detector.Ejected(m.ID, q.Now) {
			o.ejected = true
			ejected++
		}
		options = append(options, o)
	}
	b.deprioritizeEjected(options, ejected)
	return options
}

func (q Query) allows(region string) bool { return q.Allows == nil || q.Allows(region) }

func (b *Balancer) state(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{seed: xxhash.Sum64String(id)}
		b.states[id] = s
	}
	return s
}

// mix spreads the bits of a number (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func unit(x uint64) float64 { return float64(x) / math.MaxUint64 }

// Done ends a request that Choose counted.
func (b *Balancer) Done(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.outstanding = max(0, s.outstanding-1)
}

// Told takes over what an upstream told of its load.
func (b *Balancer) ObserveLoad(id string, running, waiting int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).observeLoad(running+waiting, now)
}

// Keep forgets the upstreams that keep does not name.
func (b *Balancer) Retain(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.outstanding == 0 && !keep(id) {
			delete(b.states, id)
		}
	}
}
