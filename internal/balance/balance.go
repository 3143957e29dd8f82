// Package balance decides which upstream a request goes to. A request's key
// has a home among the upstreams of its service: an upstream that has seen an
// object lately works faster on it, so a key stays at its home while that has
// room, and goes to its next home when it has none.
package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/instance"
)

// Weights weigh what speaks for and against an upstream. They are costs in
// one unit: the spread of a key's preferences over all upstreams is Affinity.
type Weights struct {
	// Affinity spreads a key's preferences from 0 to itself.
	Affinity float64
	// OtherRegion and OtherZone are what distance costs.
	OtherRegion float64
	OtherZone   float64
	// Load is what an upstream's load costs, in its capacities.
	Load float64
	// Above is the load from which an upstream costs Steep more for each
	// capacity.
	Above float64
	Steep float64
	// Full is the load from which an upstream takes nothing more.
	Full float64
}

// DefaultWeights were measured: strict homes, and load only near the full.
var DefaultWeights = Weights{
	Affinity: 10, OtherRegion: 2, OtherZone: 0, Load: 2, Above: 0.8, Steep: 10, Full: 1.3,
}

// Place says where a host is.
type Place struct{ Zone, Region string }

// Shares gives the host's part of what all hosts may send together.
type Shares interface {
	// ColdRate is how many requests a second this host may send to a cold
	// instance of a region, of a rate that holds for all hosts together.
	ColdRate(region string, total float64) int
}

// Reason says why no upstream was chosen.
type Reason uint8

// The reasons.
const (
	// Chosen is no reason: there is a choice.
	Chosen Reason = iota
	// Nobody says that no upstream may serve the request.
	Nobody
	// Full says that all are at their limit.
	Full
	// Cold says that what is not full is cold, and has had its share.
	Cold
)

// Query is what a choice is made for.
type Query struct {
	// Key is what the request is about, or empty.
	Key string
	// Candidates are the upstreams of the service.
	Candidates []*instance.Member
	// Allows says in which regions the request may be served; nil is all.
	Allows func(region string) bool
	// Tried are the ids of upstreams that it was sent to before.
	Tried []string
	// ColdRate is how many requests a second a cold upstream bears from
	// all hosts together.
	ColdRate float64
	Now      time.Time
}

// Choice is the upstream chosen, with what decided it.
type Choice struct {
	Instance *instance.Member
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
	place   Place
	weights Weights
	shares  Shares

	mu     sync.Mutex
	states map[string]*state
}

// New makes a balancer for a host at a place.
func New(place Place, weights Weights, shares Shares) *Balancer {
	return &Balancer{place: place, weights: weights, shares: shares, states: map[string]*state{}}
}

// option is one candidate with its cost.
type option struct {
	member *instance.Member
	state  *state
	cost   float64
	hash   float64
	load   float64
}

// Choose chooses an upstream and counts the request as outstanding there
// until Done.
func (b *Balancer) Choose(q Query) (Choice, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	options, reason := b.options(q)
	if len(options) == 0 {
		return Choice{}, reason
	}
	slices.SortFunc(options, func(x, y option) int {
		switch {
		case x.cost < y.cost:
			return -1
		case x.cost > y.cost:
			return 1
		default:
			return 0
		}
	})
	reason = Full
	for _, o := range options {
		cold := q.Now.Before(o.member.ColdUntil)
		if cold && !o.state.takeCold(q.Now, b.shares.ColdRate(o.member.Region, q.ColdRate)) {
			reason = Cold
			continue
		}
		o.state.outstanding++
		return b.choice(o, options, q.Now, cold), Chosen
	}
	return Choice{}, reason
}

func (b *Balancer) choice(o option, all []option, now time.Time, cold bool) Choice {
	c := Choice{Instance: o.member, Load: o.load, LoadAge: -1, Cold: cold}
	if !o.state.toldAt.IsZero() {
		c.LoadAge = now.Sub(o.state.toldAt)
	}
	for _, other := range all {
		if other.hash < o.hash {
			c.Rank++
		}
	}
	return c
}

func (b *Balancer) options(q Query) ([]option, Reason) {
	key := xxhash.Sum64String(q.Key)
	options := make([]option, 0, len(q.Candidates))
	reason := Nobody
	ejected := 0
	for _, m := range q.Candidates {
		if slices.Contains(q.Tried, m.ID) || (q.Allows != nil && !q.Allows(m.Region)) {
			continue
		}
		s := b.state(m.ID)
		o := b.cost(m, s, key, q.Now)
		if o.load >= b.weights.Full {
			reason = Full
			continue
		}
		if q.Now.Before(s.ejectedUntil) {
			// An ejected upstream is the last choice, and no more than that:
			// a wrong belief must not empty a service.
			o.cost += 4 * b.weights.Affinity
			ejected++
		}
		options = append(options, o)
	}
	return options, reason
}

func (b *Balancer) cost(m *instance.Member, s *state, key uint64, now time.Time) option {
	o := option{member: m, state: s, hash: unit(mix(key ^ s.seed)), load: s.load(now, m.Capacity)}
	o.cost = o.hash*b.weights.Affinity + o.load*b.weights.Load
	switch {
	case m.Region != b.place.Region:
		o.cost += b.weights.OtherRegion
	case m.Zone != b.place.Zone:
		o.cost += b.weights.OtherZone
	}
	if o.load > b.weights.Above {
		o.cost += (o.load - b.weights.Above) * b.weights.Steep
	}
	return o
}

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

// Outcome says how a request ended at an upstream.
type Outcome uint8

// The outcomes.
const (
	// Answered is a whole answer.
	Answered Outcome = iota
	// Shed is the upstream's refusal.
	Shed
	// Failed is a broken, wrong or missing answer.
	Failed
	// Unreachable is a connection that was not made.
	Unreachable
	// Abandoned is a request that the host itself gave up.
	Abandoned
)

// Done ends a request that Choose counted.
func (b *Balancer) Done(id string, outcome Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.outstanding = max(0, s.outstanding-1)
	s.note(outcome, now)
}

// Told takes over what an upstream told of its load.
func (b *Balancer) Told(id string, running, waiting int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).told(running+waiting, now)
}

// Keep forgets the upstreams that keep does not name.
func (b *Balancer) Keep(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.outstanding == 0 && !keep(id) {
			delete(b.states, id)
		}
	}
}
