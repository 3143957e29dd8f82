// Package shift moves a service's traffic between its rules and keeps every
// rule's share under its cap.
package shift

import (
	"math"
	"slices"
	"time"
)

// How a ramp answers trouble at the receiving end.
const (
	// slowFactor shrinks the pace of a ramp for each refusal.
	slowFactor = 0.5
	// slowest is the least pace, as a part of the rule's ramp.
	slowest = 1.0 / 64
	// recovery is how fast the pace returns, in parts per second.
	recovery = 0.1
	// maxCredit bounds what a rule carries from one request to the next, so
	// that idle time buys no burst.
	maxCredit = 1.0
)

// Rule is what a meter needs of a rule.
type Rule struct {
	Name string
	// Share is the target share, 0 to 1.
	Share float64
	// Cap is the share never exceeded, 0 to 1.
	Cap float64
	// Ramp is the pace of the share in share per second; 0 moves at once.
	Ramp float64
}

type ruleState struct {
	Rule
	current float64
	// credit is how many requests the cap leaves room for now.
	credit float64
	// deficit is how far the rule is behind its share, in requests.
	deficit float64
	pace    float64
}

// Meter counts one service's requests on one host. It is a plain state; the
// caller brings locks and time.
//
// In every window of n requests that arrive here, at most floor(cap*n)+1
// are sent to a rule: credit is at most 1 when the window opens, each
// arrival adds cap, and each sending, retries and hedges too, takes one. So
// a fleet of h hosts sends at most cap*N+h of any N requests.
type Meter struct {
	rules   []ruleState
	movedAt time.Time
	// first is the credit a new rule starts with, below one: hosts draw it
	// at random, so that many hosts with small caps start unbiased.
	first func() float64
}

// NewMeter makes a meter. first gives a starting credit from 0 up to 1.
func NewMeter(first func() float64, now time.Time) *Meter {
	return &Meter{first: first, movedAt: now}
}

// Configure sets the rules. A rule that stays keeps its share, credit and
// pace; a new one with a ramp starts at nothing while others carry the
// traffic, else at its target.
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
		s := ruleState{Rule: r, credit: m.first(), current: r.Share, pace: 1}
		if r.Ramp > 0 && len(old) > 0 {
			s.current = 0
		}
		return s
	}
	s := old[i]
	s.Rule = r
	s.current = math.Min(s.current, r.Cap)
	if r.Ramp == 0 {
		s.current = r.Share
	}
	return s
}

// Adopt takes over the shares that another host of the zone has reached, so
// that a starting host joins a ramp where it stands.
func (m *Meter) Adopt(shares map[string]float64) {
	for i := range m.rules {
		r := &m.rules[i]
		if v, ok := shares[r.Name]; ok && r.Ramp > 0 {
			r.current = math.Min(math.Max(0, v), r.Cap)
		}
	}
}

// Shares gives each rule's share as it stands now.
func (m *Meter) Shares() map[string]float64 {
	out := make(map[string]float64, len(m.rules))
	for _, r := range m.rules {
		out[r.Name] = r.current
	}
	return out
}

// Advance moves the ramps on, unless the host's configuration is stale.
func (m *Meter) Advance(now time.Time, frozen bool) {
	if frozen {
		m.movedAt = now
		return
	}
	m.move(now)
}

func (m *Meter) move(now time.Time) {
	elapsed := now.Sub(m.movedAt).Seconds()
	m.movedAt = now
	for i := range m.rules {
		r := &m.rules[i]
		step := r.Ramp * r.pace * elapsed
		r.pace = math.Min(1, r.pace+recovery*elapsed)
		if r.Ramp == 0 {
			continue
		}
		r.current += math.Max(-step, math.Min(step, r.Share-r.current))
	}
}

// Slow shrinks the pace of a rule's ramp after a refusal or a rise in
// latency at its upstreams.
func (m *Meter) Slow(rule string) {
	for i := range m.rules {
		if m.rules[i].Name == rule {
			m.rules[i].pace = math.Max(slowest, m.rules[i].pace*slowFactor)
		}
	}
}

// Arrive counts a request and gives its rules, the one furthest behind its
// share first. It appends to order, so that a caller's buffer is reused.
func (m *Meter) Arrive(order []int32) []int32 {
	sum := 0.0
	for i := range m.rules {
		sum += m.rules[i].current
	}
	for i := range m.rules {
		r := &m.rules[i]
		r.credit = math.Min(r.credit, maxCredit) + r.Cap
		if sum > 0 {
			r.deficit += r.current / sum
		}
		order = append(order, int32(i))
	}
	m.sort(order)
	return order
}

// sort is an insertion sort: a service has few rules, and nothing is to be
// allocated.
func (m *Meter) sort(order []int32) {
	for i := 1; i < len(order); i++ {
		for j := i; j > 0 && m.before(order[j], order[j-1]); j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
}

func (m *Meter) before(a, b int32) bool {
	ra, rb := &m.rules[a], &m.rules[b]
	if (ra.current > 0) != (rb.current > 0) {
		return ra.current > 0
	}
	return ra.deficit > rb.deficit
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

// Has reports whether there is a rule at a place and its cap leaves room for
// a request.
func (m *Meter) Has(i int32) bool {
	if i < 0 || int(i) >= len(m.rules) {
		return false
	}
	r := &m.rules[i]
	return r.Cap >= 1 || r.credit >= 1
}

// Take counts a request to a rule, or reports that its cap leaves no room.
// Nothing gives it back: a request that was refused after all has used the
// room, so that no window can ever hold more.
func (m *Meter) Take(i int32) bool {
	if !m.Has(i) {
		return false
	}
	r := &m.rules[i]
	if r.Cap < 1 {
		r.credit--
	}
	r.deficit = math.Max(-maxDeficit, r.deficit-1)
	m.bound()
	return true
}

// maxDeficit bounds how long a rule that could not be served is made up for.
const maxDeficit = 16

func (m *Meter) bound() {
	for i := range m.rules {
		m.rules[i].deficit = math.Min(maxDeficit, m.rules[i].deficit)
	}
}

// Name gives the name of rule i.
func (m *Meter) Name(i int32) string { return m.rules[i].Name }

// Status is one rule's standing for people.
type Status struct {
	Rule string `json:"rule"`
	// Share is the share now, Target where it moves, Cap its bound.
	Share  float64 `json:"share"`
	Target float64 `json:"target"`
	Cap    float64 `json:"cap"`
	// Pace is the part of the ramp's speed that trouble leaves, 0 to 1.
	Pace float64 `json:"pace"`
}

// Status gives every rule's standing.
func (m *Meter) Status() []Status {
	out := make([]Status, 0, len(m.rules))
	for _, r := range m.rules {
		out = append(out, Status{Rule: r.Name, Share: r.current, Target: r.Share, Cap: r.Cap, Pace: r.pace})
	}
	return out
}
