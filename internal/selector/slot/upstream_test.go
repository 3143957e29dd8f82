package slot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/slot"
)

// TestConcurrencyLimit holds the rules by which an upstream's concurrency limit grows
// and shrinks, up to the six slots that the host holds.
func TestConcurrencyLimit(t *testing.T) {
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
			later := now + int64(time.Minute) // when no upstream is ejected any more
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
	require.Equal(t, 1, p.Load(start).Warm, "the failures before the restart are forgotten")
	p.Restarted("unknown")
}

// TestEjection holds how long an upstream is ejected after each outcome.
func TestEjection(t *testing.T) {
	type step struct {
		outcome slot.Outcome
		ejected time.Duration
	}
	const ms = time.Millisecond
	cases := []struct {
		name  string
		steps []step
	}{
		{"each failure in a row doubles the ejection, up to 5 s", []step{
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
		{"sheds of single requests double the ejection, up to 2 s", []step{
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
				if s.ejected > 0 {
					_, refusal := p.Take("r", now+int64(s.ejected)-1)
					require.Equal(t, slot.Full, refusal, "step %d ejects", i)
					require.Zero(t, p.Load(now+int64(s.ejected)-1).Free, "step %d", i)
				}
				now += int64(s.ejected)
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
	require.Equal(t, slot.Full, refusal, "none is used while all are full or ejected")

	after := start + int64(time.Minute)
	require.Equal(t, "a", take(t, p, "r", after).Upstream())
	_, refusal = p.Take("r", after)
	require.Equal(t, slot.Full, refusal, "after an ejection one request at a time is tried")

	p = newPool(slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6})
	end(t, p, "a", slot.Failure, 0, start)
	end(t, p, "b", slot.Failure, 0, start)
	_, refusal = p.Take("r", start)
	require.Equal(t, slot.Full, refusal, "all may be ejected at once")
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
		{"a higher concurrency limit", fast, fast, func(t *testing.T, p *slot.Pool) { end(t, p, "a", slot.Shed, 0, start) }, "b"},
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
