package slot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/slot"
)

// TestConcurrencyLimit checks how an upstream's concurrency limit increases and
// decreases, up to the six slots that the host holds.
func TestConcurrencyLimit(t *testing.T) {
	const held = 6
	cases := []struct {
		name     string
		outcomes []slot.Outcome
		// interval is the time from one outcome to the next.
		interval time.Duration
		want     int
	}{
		{"a cold upstream gets one request at a time", nil, 0, 1},
		{"one success adds a second slot", repeat(slot.Success, 1), 0, 2},
		{"two more successes do not add a third slot", repeat(slot.Success, 3), 0, 2},
		{"a round of successes adds one slot", repeat(slot.Success, 4), 0, 3},
		{"the limit does not exceed the held slots", repeat(slot.Success, 100), 0, held},
		{"an unused slot does not change the limit", repeat(slot.Unused, 100), 0, 1},
		{"a shed halves the slots", append(repeat(slot.Success, 100), slot.Shed), 0, 3},
		{"sheds of one burst cause one decrease", append(repeat(slot.Success, 100), slot.Shed, slot.Shed), 50 * time.Millisecond, 3},
		{"sheds 100 ms apart each cause a decrease", append(repeat(slot.Success, 100), slot.Shed, slot.Shed), 100 * time.Millisecond, 1},
		{"a failure reduces the limit to one slot", append(repeat(slot.Success, 100), slot.Failure), 0, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(slot.Spec{Name: "a", Held: held})
			now := start
			for _, o := range tc.outcomes {
				now += int64(tc.interval)
				sendAndEnd(t, p, "r", o, time.Millisecond, now)
			}
			later := now + int64(time.Minute) // all ejections have ended
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

	sendAndEnd(t, p, "r", slot.Failure, 0, start)
	p.Restarted("a")
	require.Equal(t, 1, p.Load(start).Warm, "failures before the restart must not have an effect")
	p.Restarted("unknown")
}

// TestEjection checks how long an upstream is ejected after each outcome.
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
		{"each consecutive failure doubles the ejection, up to 5 s", []step{
			{slot.Failure, 200 * ms}, {slot.Failure, 400 * ms}, {slot.Failure, 800 * ms}, {slot.Failure, 1600 * ms},
			{slot.Failure, 3200 * ms}, {slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms},
			{slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms}, {slot.Failure, 5000 * ms},
		}},
		{"a success resets the count of failures", []step{
			{slot.Failure, 200 * ms}, {slot.Failure, 400 * ms}, {slot.Success, 0}, {slot.Failure, 200 * ms},
		}},
		{"an unused slot does not reset the count", []step{
			{slot.Failure, 200 * ms}, {slot.Unused, 0}, {slot.Failure, 400 * ms},
		}},
		{"each consecutive shed at the minimum limit doubles the ejection, up to 2 s", []step{
			{slot.Shed, 100 * ms}, {slot.Shed, 200 * ms}, {slot.Shed, 400 * ms}, {slot.Shed, 800 * ms},
			{slot.Shed, 1600 * ms}, {slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms},
			{slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms}, {slot.Shed, 2000 * ms},
		}},
		{"a success resets the count of sheds too", []step{
			{slot.Shed, 100 * ms}, {slot.Shed, 200 * ms}, {slot.Success, 0}, {slot.Failure, 200 * ms}, {slot.Shed, 100 * ms},
		}},
		{"a shed above the minimum limit does not eject", []step{
			{slot.Success, 0}, {slot.Shed, 0},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(slot.Spec{Name: "a", Held: 6})
			now := start
			for i, s := range tc.steps {
				sendAndEnd(t, p, "r", s.outcome, time.Millisecond, now)
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
	sendAndEnd(t, p, "a", slot.Failure, 0, start)
	for range 6 {
		require.Equal(t, "b", take(t, p, "r", start).Upstream(), "the other upstream must still receive requests")
	}
	sendAndEnd(t, p, "a", slot.Failure, 0, start+int64(time.Second))
	_, refusal := p.Take("r", start+int64(time.Second))
	require.Equal(t, slot.Full, refusal, "no slot is granted while all upstreams are full or ejected")

	after := start + int64(time.Minute)
	require.Equal(t, "a", take(t, p, "r", after).Upstream())
	_, refusal = p.Take("r", after)
	require.Equal(t, slot.Full, refusal, "after an ejection, one request at a time is sent")

	p = newPool(slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6})
	sendAndEnd(t, p, "a", slot.Failure, 0, start)
	sendAndEnd(t, p, "b", slot.Failure, 0, start)
	_, refusal = p.Take("r", start)
	require.Equal(t, slot.Full, refusal, "all upstreams may be ejected at the same time")
}

// TestChoiceOfUpstream checks which properties determine whether upstream a or b is
// chosen.
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
		{"latency is multiplied by the outstanding requests", fast, slow, func(t *testing.T, p *slot.Pool) { take(t, p, "a", start) }, "a"},
		{"a higher concurrency limit", fast, fast, func(t *testing.T, p *slot.Pool) { sendAndEnd(t, p, "a", slot.Shed, 0, start) }, "b"},
		{"a report of full load", fast, fast, func(_ *testing.T, p *slot.Pool) { p.Report("a", 1, start) }, "b"},
		{"a report at most doubles the score", fast, slow, func(_ *testing.T, p *slot.Pool) { p.Report("a", 1e9, start) }, "a"},
		{"a report below zero does not improve the score", slow, fast, func(_ *testing.T, p *slot.Pool) { p.Report("a", -1e9, start) }, "b"},
		{"a report of 5 s ago is not used", fast, fast, func(_ *testing.T, p *slot.Pool) { p.Report("a", 1, start-int64(5*time.Second)) }, "a"},
		{"an older report does not improve the score", slow, fast, func(_ *testing.T, p *slot.Pool) { p.Report("a", 1, start-int64(10*time.Second)) }, "b"},
		{"the effect of a report decreases with its age", fast, fast, func(_ *testing.T, p *slot.Pool) {
			p.Report("a", 1, start-int64(4*time.Second))
			p.Report("b", 0.5, start)
		}, "a"},
		{"a report for an unknown upstream is ignored", fast, fast, func(_ *testing.T, p *slot.Pool) { p.Report("c", 1, start) }, "a"},
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

func TestLatencyIsAveraged(t *testing.T) {
	p := newPool(slot.Spec{Name: "a", Held: 6}, slot.Spec{Name: "b", Held: 6}, slot.Spec{Name: "c", Held: 6})
	require.Zero(t, p.Latency(), "the latency is unknown before the first success")
	sendAndEnd(t, p, "a", slot.Success, 10*time.Millisecond, start)
	require.Equal(t, 10*time.Millisecond, p.Latency(), "the first sample sets the average")
	sendAndEnd(t, p, "a", slot.Success, 20*time.Millisecond, start)
	require.InDelta(t, 12*time.Millisecond, p.Latency(), 1, "a later sample has a weight of one fifth")
	sendAndEnd(t, p, "b", slot.Success, 22*time.Millisecond, start)
	require.InDelta(t, 17*time.Millisecond, p.Latency(), 1, "the mean of the upstreams with a known latency")
}
