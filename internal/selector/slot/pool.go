package slot

import "time"

// Refusal is the reason why a pool granted no slot.
type Refusal uint8

const (
	// Granted means that a slot was granted.
	Granted Refusal = iota
	// NoRule means that the pool has no rule of this name.
	NoRule
	// Capped means that the rule has reached its rate limit or in-flight limit.
	Capped
	// Full means that no slot of the rule's upstreams is available: each slot is
	// in use, exceeds its upstream's concurrency limit, or belongs to an upstream
	// that is ejected or leaving.
	Full
	// Leaving means that the host is leaving its zone and no longer holds slots.
	Leaving
)

// Lease is a slot that is in use. It must be released exactly once.
type Lease struct {
	upstream *upstream
	rule     *rule
}

// Upstream returns the name of the slot's upstream.
func (l Lease) Upstream() string { return l.upstream.name }

// Pool tracks the slots that one host holds at the upstreams of one service. It is
// not safe for concurrent use. All now parameters are nanoseconds of one monotonic clock, above
// zero.
type Pool struct {
	// upstreams contains the upstreams of the specs and removed upstreams that
	// still have outstanding requests. configured contains the upstreams of the
	// specs, in the order of the specs.
	upstreams  map[string]*upstream
	configured []*upstream
	rules      map[string]*rule
	// held is the number of slots held at upstreams that are not leaving.
	// outstanding is the number of requests at all upstreams.
	held        int
	outstanding int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{upstreams: map[string]*upstream{}, rules: map[string]*rule{}}
}

// Configure sets the upstreams and rules of the pool. Outstanding requests remain
// counted, including those at removed upstreams.
func (p *Pool) Configure(specs []Spec, rules []RuleSpec) {
	old := p.upstreams
	p.upstreams = make(map[string]*upstream, len(specs))
	p.configured = p.configured[:0]
	p.held = 0
	for _, s := range specs {
		u := old[s.Name]
		if u == nil {
			u = &upstream{name: s.Name, limit: coldLimit}
		}
		u.held, u.leaving = s.Held, s.Leaving
		p.upstreams[s.Name] = u
		p.configured = append(p.configured, u)
		if !s.Leaving {
			p.held += s.Held
		}
	}
	p.keepRemoved(old)
	p.configureRules(rules)
}

// keepRemoved keeps upstreams that are no longer configured while they have
// outstanding requests.
func (p *Pool) keepRemoved(old map[string]*upstream) {
	for name, u := range old {
		if p.upstreams[name] == nil && u.outstanding > 0 {
			u.held, u.leaving = 0, true
			p.upstreams[name] = u
		}
	}
}

func (p *Pool) configureRules(specs []RuleSpec) {
	old := p.rules
	p.rules = make(map[string]*rule, len(specs))
	for _, s := range specs {
		r := old[s.Name]
		if r == nil {
			r = &rule{}
		}
		r.configure(s, p.configured)
		p.rules[s.Name] = r
	}
}

// Take takes a slot at the best upstream of a rule. The rule's own limits are
// checked first, so that a request above them is refused with Capped and does not
// wait, even if no slot is free.
func (p *Pool) Take(ruleName string, now int64) (Lease, Refusal) {
	r := p.rules[ruleName]
	if r == nil {
		return Lease{}, NoRule
	}
	if !r.admits(now) {
		return Lease{}, Capped
	}
	u := choose(r.upstreams, now)
	if u == nil {
		return Lease{}, Full
	}
	u.outstanding++
	r.requestSent()
	p.outstanding++
	return Lease{upstream: u, rule: r}, Granted
}

// Release releases a slot and records the outcome of its request. The latency is
// used for a Success only.
func (p *Pool) Release(l Lease, outcome Outcome, latency time.Duration, now int64) {
	l.upstream.outstanding--
	l.rule.outstanding--
	p.outstanding--
	l.upstream.record(outcome, latency, now)
}

// Report records the load, from 0 to 1, that an upstream reported at the given time.
func (p *Pool) Report(upstream string, load float64, at int64) {
	if u := p.upstreams[upstream]; u != nil {
		u.report(load, at)
	}
}

// Restarted records the restart of an upstream, which makes the upstream cold.
func (p *Pool) Restarted(upstream string) {
	if u := p.upstreams[upstream]; u != nil {
		u.restarted()
	}
}

// Load describes the use of a pool.
type Load struct {
	// Free is the number of slots that are currently available.
	Free int
	// Held is the number of slots that this host holds at upstreams that are not
	// leaving, including ejected upstreams.
	Held int
	// Warm is the number of held slots that the concurrency limits currently
	// allow, at upstreams that are not ejected.
	Warm int
	// Outstanding is the number of requests that have a slot.
	Outstanding int
}

// Load returns the current load of the pool.
func (p *Pool) Load(now int64) Load {
	l := Load{Held: p.held, Outstanding: p.outstanding}
	for _, u := range p.configured {
		if u.leaving || u.ejected(now) {
			continue
		}
		l.Warm += u.usable()
		l.Free += max(0, u.usable()-u.outstanding)
	}
	return l
}

// Usage returns the number of held slots and of outstanding requests. Unlike Load,
// it does not iterate over the upstreams.
func (p *Pool) Usage() (held, outstanding int) { return p.held, p.outstanding }

// Latency returns the mean latency of the pool's upstreams, or 0 if it is unknown.
func (p *Pool) Latency() time.Duration {
	var sum float64
	var n int
	for _, u := range p.configured {
		if u.latency > 0 {
			sum += u.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / float64(n) * float64(time.Second))
}

// WithinHeld reports whether each upstream has at most as many outstanding requests
// as the host holds slots at the upstream. A roster epoch may be acknowledged only
// under this condition.
func (p *Pool) WithinHeld() bool {
	for _, u := range p.upstreams {
		if u.outstanding > u.held {
			return false
		}
	}
	return true
}

// Outstanding returns the number of an upstream's outstanding requests.
func (p *Pool) Outstanding(upstream string) int {
	if u := p.upstreams[upstream]; u != nil {
		return u.outstanding
	}
	return 0
}
