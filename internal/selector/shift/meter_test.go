package shift

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCapHoldsInEveryWindow sends random traffic with retries, refusals by other rules
// and changes of the shares, and checks the cap in every window of arrivals.
func TestCapHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 0.99).Draw(t, "cap")
		share := rapid.Float64Range(0, limit).Draw(t, "share")
		first := rapid.Float64Range(0, 0.999).Draw(t, "first")
		now := time.Now()
		m := NewMeter(func() float64 { return first }, now)
		rules := []Rule{{Name: "capped", Share: share, Cap: limit}, {Name: "rest", Share: 1 - share, Cap: 1}}
		m.Configure(rules, now)
		var sent []int // number of requests to the capped rule, per arrival
		for range rapid.IntRange(1, 300).Draw(t, "arrivals") {
			m.Arrive(nil)
			n := 0
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if m.Take(0) {
					n++
				}
			}
			sent = append(sent, n)
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				rules[0].Share = rapid.Float64Range(0, limit).Draw(t, "new share")
				m.Configure(rules, now)
			}
		}
		checkWindows(t, sent, limit)
	})
}

func checkWindows(t *rapid.T, sent []int, limit float64) {
	for from := range sent {
		sum := 0
		for to := from; to < len(sent); to++ {
			sum += sent[to]
			n := to - from + 1
			if maxSum := int(math.Floor(limit*float64(n)+1e-9)) + 1; sum > maxSum {
				t.Fatalf("%d of the %d requests from arrival %d on were sent; at most %d are allowed by cap %v", sum, n, from, maxSum, limit)
			}
		}
	}
}

func TestSharesAreMet(t *testing.T) {
	now := time.Now()
	m := NewMeter(func() float64 { return 0 }, now)
	m.Configure([]Rule{{Name: "a", Share: 0.2, Cap: 0.3}, {Name: "b", Share: 0.8, Cap: 1}}, now)
	counts := map[string]int{}
	for range 1000 {
		for _, i := range m.Arrive(nil) {
			if m.Take(i) {
				counts[m.rules[i].Name]++
				break
			}
		}
	}
	require.InDelta(t, 200, counts["a"], 2)
	require.InDelta(t, 800, counts["b"], 2)
}

func TestCapNearOneIsFullyUsed(t *testing.T) {
	now := time.Now()
	m := NewMeter(func() float64 { return 0 }, now)
	m.Configure([]Rule{{Name: "a", Share: 0.9, Cap: 0.9}}, now)
	got := 0
	for range 1000 {
		m.Arrive(nil)
		if m.Take(0) {
			got++
		}
	}
	require.InDelta(t, 900, got, 2)
}

func TestRamp(t *testing.T) {
	now := time.Now()
	m := NewMeter(func() float64 { return 0 }, now)
	rules := []Rule{{Name: "a", Share: 0, Cap: 1, Ramp: 0.1}, {Name: "b", Share: 1, Cap: 1, Ramp: 0.1}}
	m.Configure(rules, now)
	rules[0].Share, rules[1].Share = 0.5, 0.5
	m.Configure(rules, now)
	steps := []struct {
		name   string
		after  time.Duration
		frozen bool
		slow   bool
		want   float64
	}{
		{name: "moves at the ramp's rate", after: time.Second, want: 0.1},
		{name: "does not move while frozen", after: time.Second, frozen: true, want: 0.1},
		{name: "continues without a jump after frozen", after: time.Second, want: 0.2},
		{name: "is slowed down by a refusal", after: time.Second, slow: true, want: 0.25},
		{name: "reaches its target and stays there", after: time.Minute, want: 0.5},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if s.slow {
			m.Slow("a")
		}
		m.Advance(now, s.frozen)
		require.InDelta(t, s.want, m.Shares()["a"], 1e-9, s.name)
	}
}

func TestStartingHostAdoptsTheRamp(t *testing.T) {
	now := time.Now()
	m := NewMeter(func() float64 { return 0 }, now)
	m.Configure([]Rule{{Name: "a", Share: 0.5, Cap: 0.6, Ramp: 0.01}}, now)
	m.Adopt(map[string]float64{"a": 0.2, "gone": 1})
	require.InDelta(t, 0.2, m.Shares()["a"], 1e-9)
}

// TestShareOfANewRule checks the current share of new and changed rules.
func TestShareOfANewRule(t *testing.T) {
	now := time.Now()
	first := Rule{Name: "first", Share: 0.5, Cap: 1}
	cases := []struct {
		name   string
		before []Rule
		rule   Rule
		want   float64
	}{
		{"a new rule without a ramp starts at its target", []Rule{first}, Rule{Name: "new", Share: 0.5, Cap: 1}, 0.5},
		{"a new rule with a ramp starts at zero", []Rule{first}, Rule{Name: "new", Share: 0.5, Cap: 1, Ramp: 0.1}, 0},
		{"a new rule with a ramp and without existing rules starts at its target", nil, Rule{Name: "new", Share: 0.5, Cap: 1, Ramp: 0.1}, 0.5},
		{"an existing rule without a ramp moves at once", []Rule{{Name: "new", Share: 0.1, Cap: 1, Ramp: 0.1}}, Rule{Name: "new", Share: 0.5, Cap: 1}, 0.5},
		{"an existing rule with a ramp keeps its share", []Rule{{Name: "new", Share: 0.1, Cap: 1, Ramp: 0.1}}, Rule{Name: "new", Share: 0.5, Cap: 1, Ramp: 0.1}, 0.1},
		{"an existing rule with a ramp is limited by a lower cap", []Rule{{Name: "new", Share: 0.5, Cap: 1, Ramp: 0.1}}, Rule{Name: "new", Share: 0.1, Cap: 0.2, Ramp: 0.1}, 0.2},
	}
	for _, tc := range cases {
		m := NewMeter(func() float64 { return 0 }, now)
		m.Configure(tc.before, now)
		m.Configure(append([]Rule{first}, tc.rule), now)
		require.InDelta(t, tc.want, m.Shares()["new"], 1e-9, tc.name)
	}
}

// TestPace checks that refusals slow a ramp down to one sixty-fourth of its speed and
// that the pace recovers by one tenth per second.
func TestPace(t *testing.T) {
	now := time.Now()
	m := NewMeter(func() float64 { return 0 }, now)
	m.Configure([]Rule{{Name: "a", Share: 0.5, Cap: 1, Ramp: 0.01}, {Name: "b", Share: 0.5, Cap: 1}}, now)
	pace := func() float64 { return m.Status()[0].Pace }
	require.InDelta(t, 1, pace(), 0)
	for _, want := range []float64{1.0 / 2, 1.0 / 4, 1.0 / 8, 1.0 / 16, 1.0 / 32, 1.0 / 64, 1.0 / 64} {
		m.Slow("a")
		require.InDelta(t, want, pace(), 1e-9)
	}
	m.Slow("unknown")
	m.Advance(now.Add(time.Second), false)
	require.InDelta(t, 1.0/64+0.1, pace(), 1e-9)
	m.Advance(now.Add(time.Minute), false)
	require.InDelta(t, 1, pace(), 1e-9)
	require.InDelta(t, 1, m.Status()[1].Pace, 0, "the ramp of the other rule must not be slowed down")
}

// TestRuleIndexes checks that a rule's index is looked up by name and that no request
// is allowed for an index without a rule.
func TestRuleIndexes(t *testing.T) {
	now := time.Now()
	m := NewMeter(func() float64 { return 0 }, now)
	m.Configure([]Rule{{Name: "a", Share: 1, Cap: 1}, {Name: "none", Share: 0, Cap: 0}}, now)
	require.Equal(t, int32(0), m.Index("a"))
	require.Equal(t, int32(-1), m.Index("gone"))
	for _, index := range []int32{-1, 2} {
		require.False(t, m.Allows(index))
		require.False(t, m.Take(index))
	}
	m.Arrive(nil)
	for range 5 {
		require.True(t, m.Take(0))
	}
	require.False(t, m.Take(1), "a cap of zero must not allow a request")
	require.Equal(t, []int32{0, 1}, m.Arrive(nil), "a rule without a share comes last, regardless of its deficit")
}
