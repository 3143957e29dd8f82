package slot_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/slot"
)

// start is when the tests' clock begins, in nanoseconds.
const start = int64(time.Hour)

// unlimited is a rule without limits of its own over some upstreams.
func unlimited(name string, upstreams ...int32) slot.RuleSpec {
	return slot.RuleSpec{Name: name, Members: upstreams, InFlight: -1, Rate: -1}
}

// newPool makes a pool with one unlimited rule "r" over all upstreams, and one
// for each upstream alone, by the upstream's name.
func newPool(specs ...slot.Spec) *slot.Pool {
	p := slot.NewPool()
	configure(p, specs...)
	return p
}

func configure(p *slot.Pool, specs ...slot.Spec) {
	all := unlimited("r")
	rules := make([]slot.RuleSpec, 0, len(specs)+1)
	for i, s := range specs {
		all.Members = append(all.Members, int32(i))
		rules = append(rules, unlimited(s.Name, int32(i)))
	}
	p.Configure(specs, append(rules, all))
}

// take takes a slot that must be there.
func take(t *testing.T, p *slot.Pool, rule string, now int64) slot.Lease {
	t.Helper()
	lease, refusal := p.Take(rule, now)
	require.Equal(t, slot.Granted, refusal)
	return lease
}

// end sends one request of a rule that ends at once.
func end(t *testing.T, p *slot.Pool, rule string, outcome slot.Outcome, latency time.Duration, now int64) {
	t.Helper()
	p.Release(take(t, p, rule, now), outcome, latency, now)
}

// warm sends requests to a rule's upstreams that all succeed.
func warm(t *testing.T, p *slot.Pool, rule string, latency time.Duration) {
	t.Helper()
	for range 100 {
		end(t, p, rule, slot.Success, latency, start)
	}
}

func repeat(outcome slot.Outcome, n int) []slot.Outcome {
	outcomes := make([]slot.Outcome, n)
	for i := range outcomes {
		outcomes[i] = outcome
	}
	return outcomes
}

// TestTrustedSlots holds the rules by which an upstream's trusted slots grow
// and shrink, up to the six that the host holds.
func TestTrustedSlots(t *testing.T) {
	const held = 6
	cases := []struct {
		name     string
		outcomes []slot.Outcome
		// every is the time from one outcome to the next.
		every time.Duration
		want  int
	}{
		{"a cold upstream gets one request at a time", nil, 0, 1},
		{"one success gives a second slot", repeat(slot.Success, 1), 0, 2},
		{"two more do not give a third", repeat(slot.Success, 3), 0, 2},
		{"a round of successes gives one slot more", repeat(slot.Success, 4), 0, 3},
		{"success never gives more than is held", repeat(slot.Success, 100), 0, held},
		{"an unused slot proves nothing", repeat(slot.Unused, 100), 0, 1},
		{"a shed halves the slots", append(repeat(slot.Success, 100), slot.Shed), 0, 3},
		{"sheds of one burst count once", append(repeat(slot.Success, 100), slot.Shed, slot.Shed), 50 * time.Millisecond, 3},
		{"sheds apart count each", append(repeat(slot.Success, 100), slot.Shed, slot.Shed), 100 * time.Millisecond, 1},
		{"a failure leaves one slot", append(repeat(slot.Success, 100), slot.Failure), 0, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(slot.Spec{Name: "a", Held: held})
			now := start
			for _, o := range tc.outcomes {
				now += int64(tc.every)
				end(t, p, "r", o, time.Millisecond, now)
			}
			later := now + int64(time.Minute) // when no upstream rests any more
			require.Equal(t, tc.want, p.Load(later).Warm)
			for range tc.want {
				take(t, p, "r", later)
			}
			_, refusal := p.Take("r", later)
			require.Equal(t, slot.Full, refusal)
		})
	}
}

func TestARestartedUpstreamIsCold(t *testing.T) {
	p := newPool(slot.Spec{Name: "a", Held: 6})
	warm(t, p, "r", time.Millisecond)
	p.Restarted("a")
	require.Equal(t, 1, p.Load(start).Warm)

	end(t, p, "r", slot.Failure, 0, start)
	p.Restarted("a")
	require.Equal(t, 1, p.Load(start).Warm, "the failures of its earlier life are forgotten")
	p.Restarted("unknown")
}

// TestEjection holds how long an upstream rests after each outcome.
func TestEjection(t *testing.T) {
	type step struct {
		outcome slot.Outcome
		rest    time.Duration
	}
	const ms = time.Millisecond
	cases := []struct {
		name  string
		steps []step
	}{
		{"each failure in a row doubles the rest, up to 5 s", []step{
			{slot.Failure, 200 * ms}, {slot.Failure, 400 * ms}, {slot.Failure, 800 * ms}, {slot.Failure, 1600 * ms},
			{slot.Failure, 3200 * ms}, {slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms},
			{slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms},
		}},
		{"a success ends the row", []step{
			{slot.Failure, 200 * ms}, {slot.Failure, 400 * ms}, {slot.Success, 0}, {slot.Failure, 200 * ms},
		}},
		{"an unused slot does not", []step{
			{slot.Failure, 200 * ms}, {slot.Unused, 0}, {slot.Failure, 400 * ms},
		}},
		{"sheds of single requests double the rest, up to 2 s", []step{
			{slot.Shed, 100 * ms}, {slot.Shed, 200 * ms}, {slot.Shed, 400 * ms}, {slot.Shed, 800 * ms},
			{slot.Shed, 1600 * ms}, {slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms},
			{slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms},
		}},
		{"a success ends the sheds' row too", []step{
			{slot.Shed, 100 * ms}, {slot.Shed, 200 * ms}, {slot.Success, 0}, {slot.Failure, 200 * ms}, {slot.Shed, 100 * ms},
		}},
		{"a shed of more than one request only halves the slots", []step{
			{slot.Success, 0}, {slot.Shed, 0},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(slot.Spec{Name: "a", Held: 6})
			now := start
			for i, s := range tc.steps {
				end(t, p, "r", s.outcome, time.Millisecond, now)
				if s.rest > 0 {
					_, refusal := p.Take("r", now+int64(s.rest)-1)
					require.Equal(t, slot.Full, refusal, "step %d rests", i)
					require.Zero(t, p.Load(now+int64(s.rest)-1).Free, "step %d", i)
				}
				now += int64(s.rest)
				p.Release(take(t, p, "r", now), slot.Unused, 0, now)
			}
		})
	}
}

func TestEjectedUpstreams(t *testing.T) {
	p := newPool(slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6})
	warm(t, p, "a", time.Millisecond)
	warm(t, p, "b", time.Millisecond)
	end(t, p, "a", slot.Failure, 0, start)
	for range 6 {
		require.Equal(t, "b", take(t, p, "r", start).Upstream(), "the others go on")
	}
	end(t, p, "a", slot.Failure, 0, start+int64(time.Second))
	_, refusal := p.Take("r", start+int64(time.Second))
	require.Equal(t, slot.Full, refusal, "none is used while all are full or rest")

	after := start + int64(time.Minute)
	require.Equal(t, "a", take(t, p, "r", after).Upstream())
	_, refusal = p.Take("r", after)
	require.Equal(t, slot.Full, refusal, "after a rest one request at a time is tried")

	p = newPool(slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6})
	end(t, p, "a", slot.Failure, 0, start)
	end(t, p, "b", slot.Failure, 0, start)
	_, refusal = p.Take("r", start)
	require.Equal(t, slot.Full, refusal, "all may rest at once")
}

// TestChoiceOfUpstream holds what makes a rule prefer upstream b to a.
func TestChoiceOfUpstream(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 30 * time.Millisecond
	cases := []struct {
		name               string
		latencyA, latencyB time.Duration
		prepare            func(t *testing.T, p *slot.Pool)
		want               string
	}{
		{"equal: the first", fast, fast, func(*testing.T, *slot.Pool) {}, "a"},
		{"the lower latency", slow, fast, func(*testing.T, *slot.Pool) {}, "b"},
		{"fewer requests outstanding", fast, fast, func(t *testing.T, p *slot.Pool) { take(t, p, "a", start) }, "b"},
		{"latency counts for each request outstanding", fast, slow, func(t *testing.T, p *slot.Pool) { take(t, p, "a", start) }, "a"},
		{"more trusted slots", fast, fast, func(t *testing.T, p *slot.Pool) { end(t, p, "a", slot.Shed, 0, start) }, "b"},
		{"a report of full load", fast, fast, func(_ *testing.T, p *slot.Pool) { p.Report("a", 1, start) }, "b"},
		{"a report at most doubles the score", fast, slow, func(_ *testing.T, p *slot.Pool) { p.Report("a", 1e9, start) }, "a"},
		{"a report below zero does not improve it", slow, fast, func(_ *testing.T, p *slot.Pool) { p.Report("a", -1e9, start) }, "b"},
		{"a report of 5 s ago counts no more", fast, fast, func(_ *testing.T, p *slot.Pool) { p.Report("a", 1, start-int64(5*time.Second)) }, "a"},
		{"an older one does not improve the score either", slow, fast, func(_ *testing.T, p *slot.Pool) { p.Report("a", 1, start-int64(10*time.Second)) }, "b"},
		{"a report fades as it ages", fast, fast, func(_ *testing.T, p *slot.Pool) {
			p.Report("a", 1, start-int64(4*time.Second))
			p.Report("b", 0.5, start)
		}, "a"},
		{"a report on an unknown upstream is dropped", fast, fast, func(_ *testing.T, p *slot.Pool) { p.Report("c", 1, start) }, "a"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6})
			warm(t, p, "a", tc.latencyA)
			warm(t, p, "b", tc.latencyB)
			tc.prepare(t, p)
			require.Equal(t, tc.want, take(t, p, "r", start).Upstream())
		})
	}
}

func TestLatencyFollowsAndIsAveraged(t *testing.T) {
	p := newPool(slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6}, slot.Spec{Name: "c", Held: 6})
	require.Zero(t, p.Latency(), "not known yet")
	end(t, p, "a", slot.Success, 10*time.Millisecond, start)
	require.Equal(t, 10*time.Millisecond, p.Latency(), "the first latency counts whole")
	end(t, p, "a", slot.Success, 20*time.Millisecond, start)
	require.InDelta(t, 12*time.Millisecond, p.Latency(), 1, "a later one for a fifth")
	end(t, p, "b", slot.Success, 22*time.Millisecond, start)
	require.InDelta(t, 17*time.Millisecond, p.Latency(), 1, "the mean of the upstreams that are known")
}

// TestRuleLimits holds a rule's limits, step by step.
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
		{"no limits: the slots bound it", -1, -1, 2, []step{{want: slot.Granted}, {want: slot.Granted}, {want: slot.Full}}},
		{"in flight", 2, -1, 6, []step{
			{want: slot.Granted}, {want: slot.Granted}, {want: slot.Capped}, {release: true, want: slot.Granted}, {want: slot.Capped},
		}},
		{"in flight of none", 0, -1, 6, []step{{want: slot.Capped}}},
		{"in flight is looked at before the slots, so that nothing waits for a cap", 2, -1, 2, []step{
			{want: slot.Granted}, {want: slot.Granted}, {want: slot.Capped},
		}},
		{"rate", -1, 10, 6, []step{
			{want: slot.Granted}, {want: slot.Capped}, {after: tenth - 1, want: slot.Capped}, {after: 2, want: slot.Granted}, {want: slot.Capped},
		}},
		{"rate: a released request does not give its credit back", -1, 10, 6, []step{
			{want: slot.Granted}, {release: true, want: slot.Capped},
		}},
		{"rate: idle time buys no burst", -1, 10, 6, []step{
			{want: slot.Granted}, {after: time.Hour, want: slot.Granted}, {want: slot.Capped},
		}},
		{"rate of none", -1, 0, 6, []step{{want: slot.Capped}, {after: time.Hour, want: slot.Capped}}},
		{"rate: a request that finds no slot costs no credit", -1, 10, 1, []step{
			{want: slot.Granted}, {after: 2 * tenth, want: slot.Full}, {release: true, want: slot.Granted},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(slot.Spec{Name: "a", Held: tc.held})
			warm(t, p, "r", time.Millisecond)
			p.Configure([]slot.Spec{{Name: "a", Held: tc.held}}, []slot.RuleSpec{
				{Name: "limited", Members: []int32{0}, InFlight: tc.inFlight, Rate: tc.rate},
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

// TestDraining holds what becomes of an upstream that gets no new request any
// more, and of the requests that it has.
func TestDraining(t *testing.T) {
	const a, b = "a", "b"
	held := slot.Spec{Name: a, Held: 6}
	other := slot.Spec{Name: b, Held: 6}
	leaving := slot.Spec{Name: a, Held: 6, Leaving: true}
	cases := []struct {
		name  string
		specs []slot.Spec
		// within is whether the host uses no more than it holds.
		within bool
		// held and outstanding are the pool's sums.
		held, outstanding int
	}{
		{"leaving, with its slots kept", []slot.Spec{leaving, other}, true, 6, 2},
		{"leaving, with its slots taken away", []slot.Spec{{Name: a, Leaving: true}, other}, false, 6, 2},
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

			require.Equal(t, tc.within, p.Within())
			require.Equal(t, 2, p.Outstanding(a))
			gotHeld, gotOut := p.Usage()
			require.Equal(t, tc.held, gotHeld)
			require.Equal(t, tc.outstanding, gotOut)
			require.Equal(t, tc.outstanding, p.Load(start).Out)
			require.Equal(t, tc.held, p.Load(start).Held)
			require.Equal(t, b, take(t, p, "r", start).Upstream(), "new requests go elsewhere")
			_, refusal := p.Take("r", start)
			require.Equal(t, slot.Full, refusal)

			p.Release(first, slot.Success, time.Millisecond, start)
			require.Equal(t, 1, p.Outstanding(a))
			p.Release(second, slot.Success, time.Millisecond, start)
			require.Zero(t, p.Outstanding(a))
			require.True(t, p.Within())
		})
	}
}

// TestWhatIsKeptOfAnUpstream holds when an upstream that comes back is cold.
func TestWhatIsKeptOfAnUpstream(t *testing.T) {
	a, b := slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6}
	cases := []struct {
		name        string
		outstanding int
		meanwhile   slot.Spec
		want        int
	}{
		{"removed without requests: forgotten", 0, b, 1},
		{"removed with a request: kept", 1, b, 6},
		{"leaving without slots: kept", 0, slot.Spec{Name: "a", Leaving: true}, 6},
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

// TestARulesCountsOutliveAChange: a rule's outstanding requests and its credit
// stay when its limits change.
func TestARulesCountsOutliveAChange(t *testing.T) {
	specs := []slot.Spec{{Name: "a", Held: 6}}
	limited := func(inFlight int, rate float64) []slot.RuleSpec {
		return []slot.RuleSpec{{Name: "limited", Members: []int32{0}, InFlight: inFlight, Rate: rate}}
	}
	p := newPool(specs...)
	warm(t, p, "r", time.Millisecond)
	p.Configure(specs, limited(3, -1))
	lease := take(t, p, "limited", start)
	take(t, p, "limited", start)
	p.Configure(specs, limited(1, -1))
	p.Release(lease, slot.Success, time.Millisecond, start)
	_, refusal := p.Take("limited", start)
	require.Equal(t, slot.Capped, refusal, "one that began under the old limit still counts")

	p.Configure(specs, limited(-1, 1))
	take(t, p, "limited", start)
	p.Configure(specs, limited(-1, 1))
	_, refusal = p.Take("limited", start)
	require.Equal(t, slot.Capped, refusal, "the credit that was used stays used")
}

// TestADeadHostsSlotsAreUsed: slots that a dead host held, and that the roster
// gives to this one, can be taken at once by an upstream's trust so far.
func TestADeadHostsSlotsAreUsed(t *testing.T) {
	p := newPool(slot.Spec{Name: "a", Held: 2})
	warm(t, p, "r", time.Millisecond)
	take(t, p, "r", start)
	second := take(t, p, "r", start)
	_, refusal := p.Take("r", start)
	require.Equal(t, slot.Full, refusal)

	configure(p, slot.Spec{Name: "a", Held: 4})
	p.Release(second, slot.Success, time.Millisecond, start)
	for range 2 {
		end(t, p, "r", slot.Success, time.Millisecond, start)
	}
	require.Equal(t, slot.Load{Free: 2, Held: 4, Warm: 3, Out: 1}, p.Load(start), "trust grows by success, from where it was")
	warm(t, p, "r", time.Millisecond)
	require.Equal(t, slot.Load{Free: 3, Held: 4, Warm: 4, Out: 1}, p.Load(start))
}

// model is what the limits of a random history have to hold against.
type model struct {
	specs       []slot.Spec
	inFlight    int
	leases      []slot.Lease
	outstanding map[string]int
}

func (m *model) spec(name string) slot.Spec {
	for _, s := range m.specs {
		if s.Name == name {
			return s
		}
	}
	return slot.Spec{}
}

func (m *model) configure(p *slot.Pool, r *rand.Rand) {
	m.specs = nil
	rule := slot.RuleSpec{Name: "r", InFlight: r.IntN(24) - 1, Rate: -1}
	m.inFlight = rule.InFlight
	for i := range 5 {
		if r.IntN(6) == 0 {
			continue
		}
		rule.Members = append(rule.Members, int32(len(m.specs)))
		m.specs = append(m.specs, slot.Spec{Name: fmt.Sprint(i), Held: r.IntN(6), Leaving: r.IntN(6) == 0})
	}
	p.Configure(m.specs, []slot.RuleSpec{rule})
}

func (m *model) take(t *testing.T, p *slot.Pool, now int64) {
	lease, refusal := p.Take("r", now)
	if refusal != slot.Granted {
		return
	}
	s := m.spec(lease.Upstream())
	require.False(t, s.Leaving, "a new request at an upstream that leaves")
	m.leases = append(m.leases, lease)
	m.outstanding[s.Name]++
	require.LessOrEqual(t, m.outstanding[s.Name], s.Held, "more requests than slots held")
	if m.inFlight >= 0 {
		require.LessOrEqual(t, len(m.leases), m.inFlight)
	}
}

func (m *model) release(p *slot.Pool, r *rand.Rand, now int64) {
	if len(m.leases) == 0 {
		return
	}
	i := r.IntN(len(m.leases))
	lease := m.leases[i]
	m.leases = append(m.leases[:i], m.leases[i+1:]...)
	m.outstanding[lease.Upstream()]--
	outcomes := []slot.Outcome{slot.Success, slot.Success, slot.Success, slot.Shed, slot.Failure, slot.Unused}
	p.Release(lease, outcomes[r.IntN(len(outcomes))], time.Duration(1+r.IntN(50))*time.Millisecond, now)
}

func (m *model) check(t *testing.T, p *slot.Pool, now int64) {
	within, held := true, 0
	for name, n := range m.outstanding {
		require.Equal(t, n, p.Outstanding(name))
		within = within && n <= m.spec(name).Held
	}
	for _, s := range m.specs {
		if !s.Leaving {
			held += s.Held
		}
	}
	require.Equal(t, within, p.Within())
	gotHeld, gotOut := p.Usage()
	require.Equal(t, held, gotHeld)
	require.Equal(t, len(m.leases), gotOut)
	l := p.Load(now)
	require.Equal(t, held, l.Held)
	require.Equal(t, len(m.leases), l.Out)
	require.LessOrEqual(t, l.Free, l.Warm)
	require.LessOrEqual(t, l.Warm, l.Held)
	require.GreaterOrEqual(t, l.Free, 0)
}

// TestLimitsHoldAtEachStep runs random histories of requests, outcomes and
// configurations, and looks at every limit and every sum after each step.
func TestLimitsHoldAtEachStep(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(20261202, seed))
		p, now := slot.NewPool(), start
		m := &model{outstanding: map[string]int{}}
		m.configure(p, r)
		for range 400 {
			now += int64(r.IntN(20)) * int64(time.Millisecond)
			switch r.IntN(20) {
			case 0:
				m.configure(p, r)
			case 1:
				p.Restarted(fmt.Sprint(r.IntN(5)))
			case 2:
				p.Report(fmt.Sprint(r.IntN(5)), r.Float64(), now)
			case 3, 4, 5, 6, 7, 8, 9:
				m.release(p, r, now)
			default:
				m.take(t, p, now)
			}
			m.check(t, p, now)
		}
	}
}
