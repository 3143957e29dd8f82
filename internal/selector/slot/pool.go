package slot

import (
	"math"
	"time"
)

// Outcome is how a request at an upstream ended.
type Outcome uint8

const (
	// Success is a whole answer.
	Success Outcome = iota
	// Shed is the upstream's own refusal.
	Shed
	// Failure is a broken or missing answer.
	Failure
	// Unused is a slot given back before anything was sent.
	Unused
)

// How a pool learns from outcomes.
const (
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// backoffFactor shrinks an upstream's limit when it sheds.
	backoffFactor = 0.5
	// backoffWindow is the least time between two such steps: the sheds of
	// one burst count once.
	backoffWindow = 100 * time.Millisecond
	// failPause is how long an upstream rests after its first failure in a
	// row; each further one doubles it, up to failPauseMax.
	failPause    = 200 * time.Millisecond
	failPauseMax = 5 * time.Second
	// shedPause and shedPauseMax are the same for one that sheds even when
	// it is sent one request at a time.
	shedPause    = 100 * time.Millisecond
	shedPauseMax = 2 * time.Second
	// reportAge is the age at which a load report no longer counts.
	reportAge = 5 * time.Second
	// reportWeight is how much a fresh report of full load can worsen an
	// upstream's score: it may double it, and no more.
	reportWeight = 1.0
)

// Spec describes an upstream to a pool.
type Spec struct {
	Name string
	// Held is how many of its slots this host may use.
	Held int
	// Leaving says that no new work may go there.
	Leaving bool
}

// RuleSpec describes a rule to a pool.
type RuleSpec struct {
	Name string
	// Members are indexes into the pool's specs.
	Members []int32
	// InFlight bounds the rule's outstanding requests here; negative is none.
	InFlight int
	// Rate bounds the rule's requests per second here; negative is none.
	Rate float64
}

// Member is one upstream's state in a pool.
type Member struct {
	name    string
	held    int
	leaving bool
	out     int
	// limit is what the upstream is trusted with; it starts at one slot,
	// since its caches may be cold, and grows with success.
	limit      float64
	latency    float64 // moving average, in seconds
	failures   int
	sheds      int // in a row, while the limit was at its least
	restUntil  int64
	backoffAt  int64
	report     float64 // reported load, 0 to 1
	reportedAt int64
}

// Name is the upstream's name.
func (m *Member) Name() string { return m.name }

type rule struct {
	members  []*Member
	inFlight int
	out      int
	rate     float64
	credit   float64
	filledAt int64
}

// Pool is the slots of one service that one host holds. It is a plain state
// without locks; now is in nanoseconds of a monotonic clock.
type Pool struct {
	members map[string]*Member
	order   []*Member
	rules   map[string]*rule
	// held and out are sums over the members.
	held int
	out  int
}

// NewPool makes an empty pool.
func NewPool() *Pool {
	return &Pool{members: map[string]*Member{}, rules: map[string]*rule{}}
}

// Configure sets what the pool holds. Requests that are outstanding stay
// counted, also at upstreams that are no longer there.
func (p *Pool) Configure(specs []Spec, rules []RuleSpec) {
	p.order = p.order[:0]
	p.held = 0
	for _, m := range p.members {
		m.held = 0
		m.leaving = true
	}
	for _, s := range specs {
		m := p.members[s.Name]
		if m == nil {
			m = &Member{name: s.Name, limit: 1}
			p.members[s.Name] = m
		}
		m.held, m.leaving = s.Held, s.Leaving
		p.order = append(p.order, m)
		if !s.Leaving {
			p.held += s.Held
		}
	}
	for name, m := range p.members {
		if m.held == 0 && m.leaving && m.out == 0 && !p.configured(m) {
			delete(p.members, name)
		}
	}
	p.configureRules(rules)
}

func (p *Pool) configured(m *Member) bool {
	for _, o := range p.order {
		if o == m {
			return true
		}
	}
	return false
}

func (p *Pool) configureRules(specs []RuleSpec) {
	old := p.rules
	p.rules = make(map[string]*rule, len(specs))
	for _, s := range specs {
		r := old[s.Name]
		if r == nil {
			r = &rule{}
		}
		r.inFlight, r.rate = s.InFlight, s.Rate
		r.members = make([]*Member, 0, len(s.Members))
		for _, i := range s.Members {
			r.members = append(r.members, p.order[i])
		}
		p.rules[s.Name] = r
	}
}

// Lease is a slot in use. It must be released exactly once.
type Lease struct {
	member *Member
	rule   *rule
}

// Upstream names the upstream of the slot.
func (l Lease) Upstream() string { return l.member.name }

// Refusal says why a pool gave no slot.
type Refusal uint8

const (
	// Granted is no refusal.
	Granted Refusal = iota
	// NoRule says that the pool knows no such rule.
	NoRule
	// Capped says that the rule's rate or in-flight limit is reached.
	Capped
	// Full says that every slot is in use or resting.
	Full
)

// Take picks the best upstream of a rule and takes one of its slots. Own
// requests outstanding and own latencies decide; a load report only shades
// the choice, and fades to nothing as it ages.
func (p *Pool) Take(ruleName string, now int64) (Lease, Refusal) {
	r := p.rules[ruleName]
	if r == nil {
		return Lease{}, NoRule
	}
	if !r.admits(now) {
		return Lease{}, Capped
	}
	m := best(r, now)
	if m == nil {
		return Lease{}, Full
	}
	m.out++
	r.out++
	p.out++
	if r.rate >= 0 {
		r.credit--
	}
	return Lease{member: m, rule: r}, Granted
}

func best(r *rule, now int64) *Member {
	var best *Member
	bestScore := math.MaxFloat64
	for _, m := range r.members {
		if m.leaving || m.out >= m.allowed() {
			continue
		}
		// Rest comes of own failures alone, never of a health report, so that
		// all may rest at once; after it one request at a time is tried.
		if m.restUntil > now {
			continue
		}
		if score := m.score(now); score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// allowed is how many of the held slots may be used now.
func (m *Member) allowed() int {
	n := int(m.limit)
	if n > m.held {
		return m.held
	}
	return n
}

func (m *Member) score(now int64) float64 {
	latency := m.latency
	if latency == 0 {
		latency = 1e-3
	}
	score := latency * float64(m.out+1) / m.limit
	age := now - m.reportedAt
	if m.report > 0 && age < int64(reportAge) {
		fresh := 1 - float64(age)/float64(reportAge)
		score *= 1 + reportWeight*m.report*fresh
	}
	return score
}

// admits refills the rule's rate and says whether its limits leave room.
func (r *rule) admits(now int64) bool {
	if r.inFlight >= 0 && r.out >= r.inFlight {
		return false
	}
	if r.rate < 0 {
		return true
	}
	elapsed := float64(now-r.filledAt) / float64(time.Second)
	r.filledAt = now
	// One request of credit at most, so that idle time buys no burst.
	r.credit = math.Min(1, r.credit+elapsed*r.rate)
	return r.credit >= 1
}

// Release gives a slot back and learns from how its request ended.
func (p *Pool) Release(l Lease, outcome Outcome, latency time.Duration, now int64) {
	m := l.member
	m.out--
	l.rule.out--
	p.out--
	switch outcome {
	case Success:
		m.succeeded(latency)
	case Shed:
		m.backOff(now)
	case Failure:
		m.failed(now)
	case Unused:
	}
}

func (m *Member) succeeded(latency time.Duration) {
	m.wake()
	seconds := latency.Seconds()
	if m.latency == 0 {
		m.latency = seconds
	}
	m.latency += latencyWeight * (seconds - m.latency)
	if m.limit < float64(m.held) {
		m.limit += 1 / m.limit
	}
}

// wake ends an upstream's rest after a success.
func (m *Member) wake() {
	m.failures = 0
	m.sheds = 0
	m.restUntil = 0
}

func (m *Member) failed(now int64) {
	m.failures++
	pause := failPause << min(m.failures-1, 8)
	m.restUntil = now + int64(min(pause, failPauseMax))
	m.limit = 1
}

func (m *Member) backOff(now int64) {
	if now-m.backoffAt < int64(backoffWindow) {
		return
	}
	m.backoffAt = now
	if m.limit <= 1 {
		// One at a time is too much: it rests.
		pause := shedPause << min(m.sheds, 8)
		m.sheds++
		m.restUntil = now + int64(min(pause, shedPauseMax))
	}
	m.limit = math.Max(1, m.limit*backoffFactor)
}

// Report notes an upstream's own word on its load, 0 to 1, measured at a
// time that the reporter can't move into the future.
func (p *Pool) Report(upstream string, load float64, at int64) {
	if m := p.members[upstream]; m != nil {
		m.report = math.Max(0, math.Min(1, load))
		m.reportedAt = at
	}
}

// Restarted makes an upstream start cold again.
func (p *Pool) Restarted(upstream string) {
	if m := p.members[upstream]; m != nil {
		m.wake()
		m.limit = 1
	}
}

// Load is how much of a pool is in use.
type Load struct {
	// Free is how many slots could be taken now.
	Free int
	// Held is how many slots this host may use.
	Held int
	// Warm is how many of them are trusted to cold or shedding upstreams
	// now.
	Warm int
	// Out is how many requests are outstanding.
	Out int
}

// Load sums the pool up.
func (p *Pool) Load(now int64) Load {
	var l Load
	for _, m := range p.members {
		l.Out += m.out
		if m.leaving {
			continue
		}
		l.Held += m.held
		if m.restUntil <= now {
			l.Warm += m.allowed()
			l.Free += max(0, m.allowed()-m.out)
		}
	}
	return l
}

// Usage gives the held slots and the outstanding requests, without looking
// at each upstream.
func (p *Pool) Usage() (held, out int) { return p.held, p.out }

// Latency is the mean latency over the pool's upstreams, 0 when not known.
func (p *Pool) Latency() time.Duration {
	var sum float64
	var n int
	for _, m := range p.order {
		if m.latency > 0 {
			sum += m.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / float64(n) * float64(time.Second))
}

// Within reports whether no upstream has more requests outstanding than the
// host holds slots of it: the condition for acknowledging a roster epoch.
func (p *Pool) Within() bool {
	for _, m := range p.members {
		if m.out > m.held {
			return false
		}
	}
	return true
}

// Outstanding gives an upstream's outstanding requests.
func (p *Pool) Outstanding(upstream string) int {
	if m := p.members[upstream]; m != nil {
		return m.out
	}
	return 0
}
