package slot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/slot"
)

// TestRuleLimits checks a rule's limits step by step.
func TestRuleLimits(t *testing.T) {
	type step struct {
		after   time.Duration
		release bool
		want    slot.Refusal
	}
	const tenth = 100 * time.Millisecond
	cases := []struct {
		name     string
		inFlight int
		rate     float64
		held     int
		steps    []step
	}{
		{"no limits: only the slots limit the requests", -1, -1, 2, []step{{want: slot.Granted}, {want: slot.Granted}, {want: slot.Full}}},
		{"in-flight limit", 2, -1, 6, []step{
			{want: slot.Granted}, {want: slot.Granted}, {want: slot.Capped}, {release: true, want: slot.Granted}, {want: slot.Capped},
		}},
		{"in-flight limit of zero", 0, -1, 6, []step{{want: slot.Capped}}},
		{"the in-flight limit is checked before the slots, so that no request waits for a cap", 2, -1, 2, []step{
			{want: slot.Granted}, {want: slot.Granted}, {want: slot.Capped},
		}},
		{"rate limit", -1, 10, 6, []step{
			{want: slot.Granted}, {want: slot.Capped}, {after: tenth - 1, want: slot.Capped}, {after: 2, want: slot.Granted}, {want: slot.Capped},
		}},
		{"rate limit: a release does not restore credit", -1, 10, 6, []step{
			{want: slot.Granted}, {release: true, want: slot.Capped},
		}},
		{"rate limit: no burst after idle time", -1, 10, 6, []step{
			{want: slot.Granted}, {after: time.Hour, want: slot.Granted}, {want: slot.Capped},
		}},
		{"rate limit of zero", -1, 0, 6, []step{{want: slot.Capped}, {after: time.Hour, want: slot.Capped}}},
		{"rate limit: a request without a free slot uses no credit", -1, 10, 1, []step{
			{want: slot.Granted}, {after: 2 * tenth, want: slot.Full}, {release: true, want: slot.Granted},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(slot.Spec{Name: "a", Held: tc.held})
			warm(t, p, "r", time.Millisecond)
			p.Configure([]slot.Spec{{Name: "a", Held: tc.held}}, []slot.RuleSpec{
				{Name: "limited", Upstreams: []int32{0}, InFlight: tc.inFlight, Rate: tc.rate},
			})
			now := start
			var last slot.Lease
			for i, s := range tc.steps {
				now += int64(s.after)
				if s.release {
					p.Release(last, slot.Success, time.Millisecond, now)
				}
				lease, refusal := p.Take("limited", now)
				require.Equal(t, s.want, refusal, "step %d", i)
				if refusal == slot.Granted {
					last = lease
				}
			}
		})
	}
}

func TestUnknownRule(t *testing.T) {
	_, refusal := newPool(slot.Spec{Name: "a", Held: 6}).Take("gone", start)
	require.Equal(t, slot.NoRule, refusal)
}

// TestARuleKeepsItsCountsWhenItsLimitsChange checks that a rule's outstanding requests
// and its credit are kept when its limits change.
func TestARuleKeepsItsCountsWhenItsLimitsChange(t *testing.T) {
	specs := []slot.Spec{{Name: "a", Held: 6}}
	limited := func(inFlight int, rate float64) []slot.RuleSpec {
		return []slot.RuleSpec{{Name: "limited", Upstreams: []int32{0}, InFlight: inFlight, Rate: rate}}
	}
	p := newPool(specs...)
	warm(t, p, "r", time.Millisecond)
	p.Configure(specs, limited(3, -1))
	lease := take(t, p, "limited", start)
	take(t, p, "limited", start)
	p.Configure(specs, limited(1, -1))
	p.Release(lease, slot.Success, time.Millisecond, start)
	_, refusal := p.Take("limited", start)
	require.Equal(t, slot.Capped, refusal, "a request that began under the old limit must still be counted")

	p.Configure(specs, limited(-1, 1))
	take(t, p, "limited", start)
	p.Configure(specs, limited(-1, 1))
	_, refusal = p.Take("limited", start)
	require.Equal(t, slot.Capped, refusal, "used credit must not be restored")
}
