package slot_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/slot"
)

// result is the result of a request that called Acquire.
type result struct {
	name    string
	lease   slot.Lease
	refusal slot.Refusal
	after   time.Duration
}

// queue is a gate in fake time together with the results of its requests.
type queue struct {
	gate    *slot.Gate
	results chan result
}

// newQueue returns a gate with one warm upstream, all slots of which are in use, and
// the leases of these slots.
func newQueue(t *testing.T, held int, rules ...slot.RuleSpec) (queue, []slot.Lease) {
	t.Helper()
	q := queue{gate: slot.NewGate(), results: make(chan result, 100)}
	q.gate.Configure([]slot.Spec{{Name: "a", Held: held}}, append(rules, unlimited("r", 0)))
	q.gate.Do(func(p *slot.Pool) { warm(t, p, "r", time.Millisecond) })
	var leases []slot.Lease
	for range held {
		leases = append(leases, q.takeNow(t, "r"))
	}
	return q, leases
}

// takeNow takes a slot without waiting. A slot must be free.
func (q queue) takeNow(t *testing.T, rule string) slot.Lease {
	t.Helper()
	lease, refusal := q.gate.Acquire(context.Background(), rule, time.Time{})
	require.Equal(t, slot.Granted, refusal)
	return lease
}

// acquire starts a request for a slot in its own goroutine. It returns when the
// request is in the queue or has a result.
func (q queue) acquire(ctx context.Context, name, rule string, wait time.Duration) {
	began := time.Now()
	go func() {
		lease, refusal := q.gate.Acquire(ctx, rule, began.Add(wait))
		q.results <- result{name, lease, refusal, time.Since(began)}
	}()
	synctest.Wait()
}

// next returns the next available result.
func (q queue) next(t *testing.T) result {
	t.Helper()
	synctest.Wait()
	select {
	case r := <-q.results:
		return r
	default:
		require.Fail(t, "no request has a result")
		return result{}
	}
}

func (q queue) release(l slot.Lease) { q.gate.Release(l, slot.Success, time.Millisecond) }

func TestTheLongestWaitingRequestGetsTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, leases := newQueue(t, 3)
		for _, name := range []string{"first", "second", "third"} {
			q.acquire(t.Context(), name, "r", time.Minute)
			time.Sleep(time.Second)
		}
		require.Equal(t, 3, q.gate.Waiting())
		for i, want := range []string{"first", "second", "third"} {
			q.release(leases[i])
			got := q.next(t)
			require.Equal(t, want, got.name)
			require.Equal(t, slot.Granted, got.refusal)
			require.Equal(t, "a", got.lease.Upstream())
			require.Equal(t, 2-i, q.gate.Waiting())
		}
		require.Equal(t, 3, q.gate.Load().Outstanding, "each released slot was granted to the next request")
	})
}

// TestANewRequestDoesNotOvertakeTheQueue checks that a released slot is granted to a
// waiting request before a new request can take it.
func TestANewRequestDoesNotOvertakeTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, leases := newQueue(t, 1)
		q.acquire(t.Context(), "waiting", "r", time.Minute)
		q.release(leases[0])
		_, refusal := q.gate.Acquire(t.Context(), "r", time.Time{})
		require.Equal(t, slot.Full, refusal)
		require.Equal(t, "waiting", q.next(t).name)
	})
}

// TestARequestIsRefusedAtOnceIfItsExpectedWaitIsTooLong guards against requests that
// are refused only after their entire wait time. Under a load above capacity this
// delay was 0.5 s at the 99th percentile.
func TestARequestIsRefusedAtOnceIfItsExpectedWaitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const held, latency, wait = 4, 200 * time.Millisecond, 100 * time.Millisecond
		q, leases := newQueue(t, held)
		for _, l := range leases {
			q.gate.Release(l, slot.Success, latency)
		}
		q.gate.Do(func(p *slot.Pool) { warm(t, p, "r", latency) })
		for range held {
			q.takeNow(t, "r")
		}
		// On average, one of the four slots is released every 50 ms.
		q.acquire(t.Context(), "first", "r", wait)
		q.acquire(t.Context(), "second", "r", wait)
		require.Equal(t, 2, q.gate.Waiting())
		q.acquire(t.Context(), "third", "r", wait)
		got := q.next(t)
		require.Equal(t, "third", got.name)
		require.Equal(t, slot.Full, got.refusal)
		require.Zero(t, got.after)
		q.acquire(t.Context(), "longer wait", "r", 2*wait)
		require.Equal(t, 3, q.gate.Waiting(), "a request that may wait longer is queued")
	})
}

func TestWhichRequestsWaitAndHowLong(t *testing.T) {
	cases := []struct {
		name    string
		held    int
		waiting int // requests already in the queue
		rule    string
		wait    time.Duration
		cancel  time.Duration // when the request's context is cancelled; zero means never
		refusal slot.Refusal
		after   time.Duration
	}{
		{"until its wait time has passed", 1, 0, "r", 5 * time.Second, 0, slot.Full, 5 * time.Second},
		{"until its context is cancelled", 1, 0, "r", 5 * time.Second, 2 * time.Second, slot.Full, 2 * time.Second},
		{"not at all without a wait time", 1, 0, "r", 0, 0, slot.Full, 0},
		{"not at all with a negative wait time", 1, 0, "r", -time.Second, 0, slot.Full, 0},
		{"if the queue is shorter than the number of held slots", 3, 2, "r", time.Second, 0, slot.Full, time.Second},
		{"not at all if the queue is as long as the number of held slots", 3, 3, "r", time.Second, 0, slot.Full, 0},
		{"not at all if no slot is held", 0, 0, "r", time.Second, 0, slot.Full, 0},
		{"not at all if the rule is at its cap", 1, 0, "capped", time.Second, 0, slot.Capped, 0},
		{"not at all for an unknown rule", 1, 0, "gone", time.Second, 0, slot.NoRule, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				capped := slot.RuleSpec{Name: "capped", Upstreams: []int32{0}, InFlight: 0, Rate: -1}
				q := queue{gate: slot.NewGate(), results: make(chan result, 100)}
				if tc.held > 0 {
					q, _ = newQueue(t, tc.held, capped)
				} else {
					q.gate.Configure([]slot.Spec{{Name: "a"}}, []slot.RuleSpec{unlimited("r", 0)})
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for range tc.waiting {
					q.acquire(ctx, "before", "r", time.Hour)
				}
				require.Equal(t, tc.waiting, q.gate.Waiting())
				own, cancelOwn := context.WithCancel(ctx)
				defer cancelOwn()
				if tc.cancel > 0 {
					time.AfterFunc(tc.cancel, cancelOwn)
				}
				q.acquire(own, "asked", tc.rule, tc.wait)
				got := <-q.results
				require.Equal(t, "asked", got.name)
				require.Equal(t, tc.refusal, got.refusal)
				require.Equal(t, tc.after, got.after)
				require.Equal(t, tc.waiting, q.gate.Waiting(), "the request must have left the queue")
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestSlotsOfADeadHostServeTheQueue checks that slots that this host takes over from a
// dead host serve the waiting requests at once.
func TestSlotsOfADeadHostServeTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, leases := newQueue(t, 2)
		q.acquire(t.Context(), "first", "r", time.Minute)
		q.acquire(t.Context(), "second", "r", time.Minute)
		q.gate.Configure([]slot.Spec{{Name: "a", Held: 2}, {Name: "b", Held: 1}}, []slot.RuleSpec{unlimited("r", 0, 1)})
		got := q.next(t)
		require.Equal(t, "first", got.name)
		require.Equal(t, "b", got.lease.Upstream())
		require.Equal(t, 1, q.gate.Waiting())
		q.release(leases[0])
		require.Equal(t, "second", q.next(t).name)
	})
}

// TestTheQueueIsServedInOrder checks that a request whose rule is at its cap or has
// been removed is skipped and keeps its position, and that a request without a
// free slot blocks all requests behind it.
func TestTheQueueIsServedInOrder(t *testing.T) {
	specs := []slot.Spec{{Name: "a", Held: 3}, {Name: "b", Held: 3}}
	limited := func(inFlight int) slot.RuleSpec {
		return slot.RuleSpec{Name: "limited", Upstreams: []int32{0}, InFlight: inFlight, Rate: -1}
	}
	t.Run("a rule at its cap is skipped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q, leases := newQueue(t, 3, limited(1))
			q.acquire(t.Context(), "limited", "limited", time.Minute)
			q.acquire(t.Context(), "behind", "r", time.Minute)
			q.gate.Configure(specs[:1], []slot.RuleSpec{limited(0), unlimited("r", 0)})
			q.release(leases[0])
			require.Equal(t, "behind", q.next(t).name)
			q.gate.Configure(specs[:1], []slot.RuleSpec{limited(1), unlimited("r", 0)})
			q.release(leases[1])
			require.Equal(t, "limited", q.next(t).name)
		})
	})
	t.Run("a removed rule is skipped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q, leases := newQueue(t, 3, limited(1))
			q.acquire(t.Context(), "limited", "limited", time.Second)
			q.acquire(t.Context(), "behind", "r", time.Minute)
			q.gate.Configure(specs[:1], []slot.RuleSpec{unlimited("r", 0)})
			q.release(leases[0])
			require.Equal(t, "behind", q.next(t).name)
			require.Equal(t, slot.Full, (<-q.results).refusal)
		})
	})
	t.Run("a request without a free slot blocks those behind it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q, leases := newQueue(t, 3)
			q.gate.Configure(specs, []slot.RuleSpec{unlimited("r", 0), unlimited("b", 1)})
			atB := q.takeNow(t, "b")
			q.acquire(t.Context(), "waits for a", "r", time.Minute)
			q.acquire(t.Context(), "waits for b", "b", time.Minute)
			q.release(atB)
			require.Equal(t, 2, q.gate.Waiting(), "b has a free slot, but the request for a arrived first")
			q.release(leases[0])
			served := []string{q.next(t).lease.Upstream(), q.next(t).lease.Upstream()}
			require.ElementsMatch(t, []string{"a", "b"}, served)
		})
	})
}

// TestGateUsesItsClock checks that the gate passes its own clock to the pool: load
// reports age and ejections end.
func TestGateUsesItsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := slot.NewGate()
		gate.Configure([]slot.Spec{{Name: "a", Held: 6}, {Name: "b", Held: 6}}, []slot.RuleSpec{unlimited("r", 0, 1), unlimited("a", 0)})
		gate.Report("a", 1)
		lease, refusal := gate.Acquire(t.Context(), "r", time.Time{})
		require.Equal(t, slot.Granted, refusal)
		require.Equal(t, "b", lease.Upstream(), "a has just reported full load")
		gate.Release(lease, slot.Unused, 0)
		time.Sleep(5 * time.Second)
		lease, _ = gate.Acquire(t.Context(), "r", time.Time{})
		require.Equal(t, "a", lease.Upstream(), "the report has expired")

		gate.Release(lease, slot.Failure, 0)
		require.Equal(t, 1, gate.Load().Free, "a is ejected")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 2, gate.Load().Free)
	})
}
