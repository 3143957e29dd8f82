package slot

import "time"

// Refusal says why a pool gave no slot.
type Refusal uint8

const (
	// Granted is no refusal.
	Granted Refusal = iota
	// NoRule says that the pool knows no such rule.
	NoRule
	// Capped says that the rule's rate or in-flight limit is reached.
	Capped
	// Full says that each slot of the rule's upstreams is in use, above its
	// upstream's concurrency limit, or at one that is ejected or leaving.
	Full
	// Leaving says that the host is leaving its zone and holds no slots any more.
	Leaving
)

// Lease is a slot in use. It must be released exactly once.
type Lease struct {
	upstream *upstream
	rule     *rule
}

// Upstream names the upstream of the slot.
func (l Lease) Upstream() string { return l.upstream.name }

// Pool is the slots of one service that one host holds. It has no lock; now is
// in nanoseconds of one monotonic clock, above zero.
type Pool struct {
	// upstreams holds those of the specs, and removed ones that still have
	// requests outstanding; configured the specs' in their order.
	upstreams  map[string]*upstream
	configured []*upstream
	rules      map[string]*rule
	// held sums the slots of the upstreams that are not leaving, outstanding
	// the requests at all upstreams.
	held        int
	outstanding int
}

// NewPool makes an empty pool.
func NewPool() *Pool {
	return &Pool{upstreams: map[string]*upstream{}, rules: map[string]*rule{}}
}

// Configure sets what the pool holds. Outstanding requests stay counted, also
// at upstreams that are no longer there.
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

// keepRemoved keeps the upstreams that are no longer configured for as long as
// they have requests outstanding.
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
// looked at first, so that a request is Capped, and does not wait, also when
// no slot is free.
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
	r.took()
	p.outstanding++
	return Lease{upstream: u, rule: r}, Granted
}

// Release gives a slot back and learns from how its request ended. latency is
// read for a Success only.
func (p *Pool) Release(l Lease, outcome Outcome, latency time.Duration, now int64) {
	l.upstream.outstanding--
	l.rule.outstanding--
	p.outstanding--
	l.upstream.record(outcome, latency, now)
}

// Report notes the load that an upstream reported, 0 to 1, at a time.
func (p *Pool) Report(upstream string, load float64, at int64) {
	if u := p.upstreams[upstream]; u != nil {
		u.report(load, at)
	}
}

// Restarted makes an upstream start cold again.
func (p *Pool) Restarted(upstream string) {
	if u := p.upstreams[upstream]; u != nil {
		u.restarted()
	}
}

// Load is how much of a pool is in use.
type Load struct {
	// Free is how many slots could be taken now.
	Free int
	// Held is how many slots this host holds at upstreams that are not leaving,
	// ejected ones too.
	Held int
	// Warm is how many of them the concurrency limits allow now, of upstreams
	// that are not ejected.
	Warm int
	// Outstanding is how many requests have a slot.
	Outstanding int
}

// Load sums the pool up.
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

// Usage gives the held slots and the outstanding requests, without looking at
// each upstream.
func (p *Pool) Usage() (held, outstanding int) { return p.held, p.outstanding }

// Latency is the mean latency over the pool's upstreams, 0 when not known.
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

// WithinHeld reports whether no upstream has more requests outstanding than the
// host holds slots of it: the condition for acknowledging a roster epoch.
func (p *Pool) WithinHeld() bool {
	for _, u := range p.upstreams {
		if u.outstanding > u.held {
			return false
		}
	}
	return true
}

// Outstanding gives an upstream's outstanding requests.
func (p *Pool) Outstanding(upstream string) int {
	if u := p.upstreams[upstream]; u != nil {
		return u.outstanding
	}
	return 0
}
