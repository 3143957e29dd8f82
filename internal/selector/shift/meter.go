// Package shift distributes a service's traffic over its rules and keeps each
// rule's share below its cap. Meter counts one service's requests on one host.
// Each host counts independently, so that no messages are needed and caps are
// enforced even while hosts cannot reach each other (docs/design/shares.md).
// Package steer uses the meter to select a rule for each request, package
// entry/services advances the ramps, and package entry/dispatch slows them down
// after refusals.
package shift

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCredit is the maximum credit, in requests, that a cap carries over from one
	// arrival to the next. It prevents bursts. The bound documented at Meter
	// requires 1.
	maxCredit = 1.0
	// maxDeficit is the maximum deviation from a rule's share, in requests, that is
	// compensated later. A rule deviates from its share when it cannot be served
	// or is served instead of other rules.
	maxDeficit = 16
)

// Rule contains the settings of a rule that a meter needs.
type Rule struct {
	// Name is the rule's name.
	Name string
	// Share is the target share, from 0 to 1.
	Share float64
	// Cap is the maximum share, from 0 to 1.
	Cap float64
	// Ramp is the rate at which the share moves to its target, in share per second.
	// 0 sets the share to its target at once.
	Ramp float64
}

// ruleState is a rule and its current state.
type ruleState struct {
	Rule
	// current is the current share, which moves toward Share.
	current float64
	// credit is the number of requests that the cap currently allows.
	credit float64
	// deficit is the number of requests by which the rule is behind its share.
	deficit float64
	// pace is the factor by which refusals reduce Ramp, from minPace to 1.
	pace float64
}

// Meter counts one service's requests on one host. It is not safe for concurrent
// use. The current time is passed to its methods.
//
// In every window of n requests that arrive at the host, at most floor(cap*n)+1
// requests are sent to a rule: the credit is at most 1 when the window opens, each
// arrival adds cap, and each request sent uses 1, including retries and hedges.
// Therefore h hosts together send at most cap*N+h of any N requests.
type Meter struct {
	rules      []ruleState
	advancedAt time.Time
	// initialCredit returns the credit of a new rule, from 0 to below 1. Hosts draw
	// it at random, so that the sum over many hosts with small caps is unbiased.
	initialCredit func() float64
}

// NewMeter returns a meter without rules. initialCredit returns the credit of a new
// rule, from 0 to below 1.
func NewMeter(initialCredit func() float64, now time.Time) *Meter {
	return &Meter{initialCredit: initialCredit, advancedAt: now}
}

// Configure sets the rules. Existing rules keep their current share, credit, deficit
// and pace. A new rule with a ramp starts with a share of 0 if there are existing
// rules, which carry the traffic; otherwise it starts at its target.
func (m *Meter) Configure(rules []Rule, now time.Time) {
	m.moveShares(now)
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

// newRule returns the state of a new rule. hasExisting reports whether there are
// existing rules that carry the traffic.
func (m *Meter) newRule(r Rule, hasExisting bool) ruleState {
	s := ruleState{Rule: r, credit: m.initialCredit(), current: r.Share, pace: 1}
	if r.Ramp > 0 && hasExisting {
		s.current = 0
	}
	return s
}

// Arrive records an arriving request and returns the indexes of the rules in the
// order in which to try them. The indexes are appended to order, so that a buffer
// can be reused.
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

// compare defines the order in which rules are tried: rules with a share precede rules
// without a share, and rules with a larger deficit precede rules with a smaller one.
func (m *Meter) compare(a, b int32) int {
	ra, rb := &m.rules[a], &m.rules[b]
	if (ra.current > 0) != (rb.current > 0) {
		return cmp.Compare(rb.current, ra.current)
	}
	return cmp.Compare(rb.deficit, ra.deficit)
}

// Index returns the index of the rule with the given name, or -1 if there is none.
// Indexes change with the configuration; names do not.
func (m *Meter) Index(rule string) int32 {
	for i := range m.rules {
		if m.rules[i].Name == rule {
			return int32(i)
		}
	}
	return -1
}

// Allows reports whether there is a rule at an index and its cap allows one more
// request. A cap of 1 always allows it.
func (m *Meter) Allows(i int32) bool {
	if i < 0 || int(i) >= len(m.rules) {
		return false
	}
	r := &m.rules[i]
	return r.Cap >= 1 || r.credit >= 1
}

// Take records a request to a rule. It returns false if the rule does not exist or
// its cap does not allow the request. The credit is not restored if the request is
// refused later, because restored credit from before a window could make the window
// exceed its bound.
func (m *Meter) Take(i int32) bool {
	if !m.Allows(i) {
		return false
	}
	r := &m.rules[i]
	if r.Cap < 1 {
		r.credit--
	}
	r.deficit = max(-maxDeficit, r.deficit-1)
	// The deficit of rules that cannot be served is limited to maxDeficit.
	for i := range m.rules {
		m.rules[i].deficit = min(maxDeficit, m.rules[i].deficit)
	}
	return true
}

// Status describes the state of one rule, for the status page.
type Status struct {
	Rule string `json:"rule"`
	// Share is the current share, Target is its target and Cap is its maximum.
	Share  float64 `json:"share"`
	Target float64 `json:"target"`
	Cap    float64 `json:"cap"`
	// Pace is the factor by which refusals reduce the speed of the ramp, from 0 to 1.
	Pace float64 `json:"pace"`
}

// Status returns the status of all rules.
func (m *Meter) Status() []Status {
	out := make([]Status, 0, len(m.rules))
	for _, r := range m.rules {
		out = append(out, Status{Rule: r.Name, Share: r.current, Target: r.Share, Cap: r.Cap, Pace: r.pace})
	}
	return out
}
