package slot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/slot"
)

// start is the initial reading of the tests' clock, in nanoseconds.
const start = int64(time.Hour)

// unlimited returns a rule without limits of its own over the given upstreams.
func unlimited(name string, upstreams ...int32) slot.RuleSpec {
	return slot.RuleSpec{Name: name, Upstreams: upstreams, InFlight: -1, Rate: -1}
}

// newPool returns a pool with an unlimited rule "r" over all upstreams and one
// unlimited rule for each upstream, named after the upstream.
func newPool(specs ...slot.Spec) *slot.Pool {
	p := slot.NewPool()
	configure(p, specs...)
	return p
}

func configure(p *slot.Pool, specs ...slot.Spec) {
	all := unlimited("r")
	rules := make([]slot.RuleSpec, 0, len(specs)+1)
	for i, s := range specs {
		all.Upstreams = append(all.Upstreams, int32(i))
		rules = append(rules, unlimited(s.Name, int32(i)))
	}
	p.Configure(specs, append(rules, all))
}

// take takes a slot. A slot must be available.
func take(t *testing.T, p *slot.Pool, rule string, now int64) slot.Lease {
	t.Helper()
	lease, refusal := p.Take(rule, now)
	require.Equal(t, slot.Granted, refusal)
	return lease
}

// sendAndEnd sends one request of a rule, which ends at once with the given outcome.
func sendAndEnd(t *testing.T, p *slot.Pool, rule string, outcome slot.Outcome, latency time.Duration, now int64) {
	t.Helper()
	p.Release(take(t, p, rule, now), outcome, latency, now)
}

// warm sends successful requests to a rule's upstreams until they are warm.
func warm(t *testing.T, p *slot.Pool, rule string, latency time.Duration) {
	t.Helper()
	for range 100 {
		sendAndEnd(t, p, rule, slot.Success, latency, start)
	}
}

func repeat(outcome slot.Outcome, n int) []slot.Outcome {
	outcomes := make([]slot.Outcome, n)
	for i := range outcomes {
		outcomes[i] = outcome
	}
	return outcomes
}

// TestDraining checks the counts of an upstream that receives no new requests while it
// still has outstanding requests.
func TestDraining(t *testing.T) {
	const a, b = "a", "b"
	held := slot.Spec{Name: a, Held: 6}
	other := slot.Spec{Name: b, Held: 6}
	leaving := slot.Spec{Name: a, Held: 6, Leaving: true}
	cases := []struct {
		name  string
		specs []slot.Spec
		// withinHeld is the expected result of WithinHeld.
		withinHeld bool
		// held and outstanding are the pool's expected sums.
		held, outstanding int
	}{
		{"leaving, slots still held", []slot.Spec{leaving, other}, true, 6, 2},
		{"leaving, slots no longer held", []slot.Spec{{Name: a, Leaving: true}, other}, false, 6, 2},
		{"removed", []slot.Spec{other}, false, 6, 2},
		{"fewer slots than requests", []slot.Spec{{Name: a, Held: 1}, other}, false, 7, 2},
		{"as many slots as requests", []slot.Spec{{Name: a, Held: 2}, other}, true, 8, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(held, other)
			warm(t, p, a, time.Millisecond)
			first, second := take(t, p, a, start), take(t, p, a, start)
			configure(p, tc.specs...)

			require.Equal(t, tc.withinHeld, p.WithinHeld())
			require.Equal(t, 2, p.Outstanding(a))
			gotHeld, gotOut := p.Usage()
			require.Equal(t, tc.held, gotHeld)
			require.Equal(t, tc.outstanding, gotOut)
			require.Equal(t, tc.outstanding, p.Load(start).Outstanding)
			require.Equal(t, tc.held, p.Load(start).Held)
			require.Equal(t, b, take(t, p, "r", start).Upstream(), "new requests go elsewhere")
			_, refusal := p.Take("r", start)
			require.Equal(t, slot.Full, refusal)

			p.Release(first, slot.Success, time.Millisecond, start)
			require.Equal(t, 1, p.Outstanding(a))
			p.Release(second, slot.Success, time.Millisecond, start)
			require.Zero(t, p.Outstanding(a))
			require.True(t, p.WithinHeld())
		})
	}
}

// TestStateOfAnUpstreamThatIsAddedAgain checks when an upstream that was removed and
// added again is cold.
func TestStateOfAnUpstreamThatIsAddedAgain(t *testing.T) {
	a, b := slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6}
	cases := []struct {
		name        string
		outstanding int
		meanwhile   slot.Spec
		want        int
	}{
		{"removed without requests: state is dropped", 0, b, 1},
		{"removed with a request: state is kept", 1, b, 6},
		{"leaving without slots: state is kept", 0, slot.Spec{Name: "a", Leaving: true}, 6},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(a)
			warm(t, p, "a", time.Millisecond)
			for range tc.outstanding {
				take(t, p, "a", start)
			}
			configure(p, tc.meanwhile)
			configure(p, a)
			require.Equal(t, tc.want, p.Load(start).Warm)
		})
	}
}

// TestSlotsOfADeadHostAreUsed checks that slots of a dead host that the roster assigns
// to this host can be used up to the concurrency limit.
func TestSlotsOfADeadHostAreUsed(t *testing.T) {
	p := newPool(slot.Spec{Name: "a", Held: 2})
	warm(t, p, "r", time.Millisecond)
	take(t, p, "r", start)
	second := take(t, p, "r", start)
	_, refusal := p.Take("r", start)
	require.Equal(t, slot.Full, refusal)

	configure(p, slot.Spec{Name: "a", Held: 4})
	p.Release(second, slot.Success, time.Millisecond, start)
	for range 2 {
		sendAndEnd(t, p, "r", slot.Success, time.Millisecond, start)
	}
	require.Equal(t, slot.Load{Free: 2, Held: 4, Warm: 3, Outstanding: 1}, p.Load(start), "the limit grows with each success from its previous value")
	warm(t, p, "r", time.Millisecond)
	require.Equal(t, slot.Load{Free: 3, Held: 4, Warm: 4, Outstanding: 1}, p.Load(start))
}
