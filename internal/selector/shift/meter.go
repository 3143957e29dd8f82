// Package shift moves a service's traffic between its rules and keeps each
// rule's share of it under its cap. Meter counts one service's requests on one
// host: each host counts for itself, so that no message is needed and caps hold
// also while hosts are cut off from each other (docs/design/shares.md). Package
// steer asks it which rule a request goes to, package entry/services advances
// its ramps, and package entry/dispatch slows them after refusals.
package shift

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCredit is how many requests a cap carries from one arrival to the next,
	// so that idle time buys no burst. The bound that Meter states needs 1.
	maxCredit = 1.0
	// maxDeficit bounds, in requests, how long a rule that could not be served,
	// or was served instead of others, is made up for.
	maxDeficit = 16
)

// Rule is what a meter needs of a rule.
type Rule struct {
	// Name is the rule's name.
	Name string
	// Share is the target share, 0 to 1.
	Share float64
	// Cap is the share never exceeded, 0 to 1.
	Cap float64
	// Ramp is the pace of the share in share per second; 0 moves at once.
	Ramp float64
}

// ruleState is a rule and where it stands.
type ruleState struct {
	Rule
	// current is the share now, on its way to Share.
	current float64
	// credit is how many requests the cap leaves room for now.
	credit float64
	// deficit is how far the rule is behind its share, in requests.
	deficit float64
	// pace is the part of Ramp that refusals leave, from slowest to 1.
	pace float64
}

// Meter counts one service's requests on one host. It has no lock; the caller
// passes in the time.
//
// In every window of n requests that arrive here, at most floor(cap*n)+1
// are sent to a rule: credit is at most 1 when the window opens, each
// arrival adds cap, and each request sent, retries and hedges too, takes one.
// So h hosts together send at most cap*N+h of any N requests.
type Meter struct {
	rules   []ruleState
	movedAt time.Time
	// first gives the credit of a new rule, below one: hosts draw it at random,
	// so that the sum over many hosts with small caps is unbiased.
	first func() float64
}

// NewMeter makes a meter. first gives the credit that a new rule starts with,
// from 0 to below 1.
func NewMeter(first func() float64, now time.Time) *Meter {
	return &Meter{first: first, movedAt: now}
}

// Configure sets the rules. A rule that stays keeps its current share, credit,
// deficit and pace. A new one with a ramp starts at no share when there were
// rules before, which carry the traffic; else it starts at its target.
func (m *Meter) Configure(rules []Rule, now time.Time) {
	m.move(now)
	old := m.rules
	m.rules = make([]ruleState, 0, len(rules))
	for _, r := range rules {
		m.rules = append(m.rules, m.stateFor(r, old))
	}
}

func (m *Meter) stateFor(r Rule, old []ruleState) ruleState {
	i := slices.IndexFunc(old, func(o ruleState) bool { return o.Name == r.Name })
	if i < 0 {
		return m.newRule(r, len(old) > 0)
	}
	s := old[i]
	s.Rule = r
	s.current = min(s.current, r.Cap)
	if r.Ramp == 0 {
		s.current = r.Share
	}
	return s
}

// newRule gives the state of a new rule; others says whether the traffic has
// rules to go to already.
func (m *Meter) newRule(r Rule, others bool) ruleState {
	s := ruleState{Rule: r, credit: m.first(), current: r.Share, pace: 1}
	if r.Ramp > 0 && others {
		s.current = 0
	}
	return s
}

// Arrive counts a request that arrived and gives the places of the rules in the
// order in which to try them. It appends to order, so that a caller's buffer is
// reused.
func (m *Meter) Arrive(order []int32) []int32 {
	sum := 0.0
	for i := range m.rules {
		sum += m.rules[i].current
	}
	for i := range m.rules {
		r := &m.rules[i]
		r.credit = min(r.credit, maxCredit) + r.Cap
		if sum > 0 {
			r.deficit += r.current / sum
		}
		order = append(order, int32(i))
	}
	slices.SortStableFunc(order, m.compare)
	return order
}

// compare orders rules as they are tried: those with a share before those
// without, and then the one furthest behind its share first.
func (m *Meter) compare(a, b int32) int {
	ra, rb := &m.rules[a], &m.rules[b]
	if (ra.current > 0) != (rb.current > 0) {
		return cmp.Compare(rb.current, ra.current)
	}
	return cmp.Compare(rb.deficit, ra.deficit)
}

// Index gives the place of a rule, negative when there is none. Places
// change with the configuration; names do not.
func (m *Meter) Index(rule string) int32 {
	for i := range m.rules {
		if m.rules[i].Name == rule {
			return int32(i)
		}
	}
	return -1
}

// Has reports whether there is a rule at a place whose cap leaves room for a
// request. A cap of 1 always does.
func (m *Meter) Has(i int32) bool {
	if i < 0 || int(i) >= len(m.rules) {
		return false
	}
	r := &m.rules[i]
	return r.Cap >= 1 || r.credit >= 1
}

// Take counts a request to a rule, or reports that its cap leaves no room.
// Nothing is given back for a request that is refused after all: credit from
// before a window could let the window hold more than its bound.
func (m *Meter) Take(i int32) bool {
	if !m.Has(i) {
		return false
	}
	r := &m.rules[i]
	if r.Cap < 1 {
		r.credit--
	}
	r.deficit = max(-maxDeficit, r.deficit-1)
	// Rules that can't be served gather no more than maxDeficit.
	for i := range m.rules {
		m.rules[i].deficit = min(maxDeficit, m.rules[i].deficit)
	}
	return true
}

// Status is where one rule stands, for the status page.
type Status struct {
	Rule string `json:"rule"`
	// Share is the current share, Target where it moves to, Cap its bound.
	Share  float64 `json:"share"`
	Target float64 `json:"target"`
	Cap    float64 `json:"cap"`
	// Pace is the part of the ramp's speed that refusals leave, 0 to 1.
	Pace float64 `json:"pace"`
}

// Status gives where each rule stands.
func (m *Meter) Status() []Status {
	out := make([]Status, 0, len(m.rules))
	for _, r := range m.rules {
		out = append(out, Status{Rule: r.Name, Share: r.current, Target: r.Share, Cap: r.Cap, Pace: r.pace})
	}
	return out
}
