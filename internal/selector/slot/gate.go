package slot

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// maxWaitingPerSlot is the maximum number of waiting requests for each held slot.
const maxWaitingPerSlot = 1

// clockStart is the reading of a gate's clock when the gate is created, in
// nanoseconds. It is far above zero, so that a zero time always lies well in the
// past.
const clockStart = int64(time.Hour)

// Gate is a pool for concurrent use, with a short bounded queue of waiting
// requests. The queue is served when a slot is released and when the pool is
// configured. The end of an ejection alone does not serve the queue.
type Gate struct {
	mu      sync.Mutex
	pool    *Pool
	waiting list.List // of *waiter, the longest waiting first
	created time.Time
	// leaving is set when the host releases its slots permanently.
	leaving bool
}

// waiter is a request that waits for a slot. The fields lease and refusal are set
// before ready is closed.
type waiter struct {
	rule    string
	lease   Lease
	refusal Refusal
	ready   chan struct{}
}

// NewGate returns a gate with an empty pool.
func NewGate() *Gate { return &Gate{pool: NewPool(), created: time.Now()} }

// now returns the reading of the gate's monotonic clock, in nanoseconds.
func (g *Gate) now() int64 { return clockStart + int64(time.Since(g.created)) }

// Configure sets the upstreams and rules of the gate's pool and serves the queue.
func (g *Gate) Configure(specs []Spec, rules []RuleSpec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Configure(specs, rules)
	g.serveWaiting()
	g.refuseWaiting()
}

// Leave marks the host as leaving its zone. As soon as the host holds no slots, the
// gate refuses all waiting and new requests with Leaving, because the host will
// not hold slots again.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.refuseWaiting()
}

// hasLeft reports whether the host is leaving and holds no slots. g.mu must be held.
func (g *Gate) hasLeft() bool { return g.leaving && g.pool.held == 0 }

// refuseWaiting refuses all waiting requests if the host has left. g.mu must be
// held.
func (g *Gate) refuseWaiting() {
	if !g.hasLeft() {
		return
	}
	for e := g.waiting.Front(); e != nil; e = g.waiting.Front() {
		w := g.waiting.Remove(e).(*waiter)
		w.refusal = Leaving
		close(w.ready)
	}
}

// Acquire takes a slot for a rule. If no slot is free, Acquire waits until the given
// time or until ctx is done. It waits only if the queue has free capacity and is
// expected to reach the request in time. Otherwise the request is refused at once,
// as is a request of a rule that has reached its limits.
func (g *Gate) Acquire(ctx context.Context, rule string, until time.Time) (Lease, Refusal) {
	g.mu.Lock()
	wait := time.Until(until)
	lease, refusal := g.pool.Take(rule, g.now())
	if refusal != Granted && g.hasLeft() {
		// A host without slots has no share of a rule's limits either.
		refusal = Leaving
	}
	if refusal != Full || wait <= 0 || !g.mayQueue() || g.expectedWait() > wait {
		g.mu.Unlock()
		return lease, refusal
	}
	w := &waiter{rule: rule, ready: make(chan struct{})}
	element := g.waiting.PushBack(w)
	g.mu.Unlock()
	return g.wait(ctx, w, element, wait)
}

// mayQueue reports whether one more request may wait. g.mu must be held.
func (g *Gate) mayQueue() bool { return g.waiting.Len() < maxWaitingPerSlot*g.pool.held }

// expectedWait returns the expected wait of a request that joins the queue now. On
// average, one of the slots in use is released every latency/slots. The result is
// zero while the latency is unknown. g.mu must be held.
func (g *Gate) expectedWait() time.Duration {
	load := g.pool.Load(g.now())
	return g.pool.Latency() * time.Duration(g.waiting.Len()+1) / time.Duration(max(1, load.Warm))
}

// wait waits for the result of w: its lease, or the reason why it gets none. If w has
// no result within the timeout or before ctx is done, wait removes it from the
// queue and returns Full.
func (g *Gate) wait(ctx context.Context, w *waiter, element *list.Element, timeout time.Duration) (Lease, Refusal) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.ready:
		return w.lease, w.refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.ready:
		// The result was set while this goroutine waited for the lock.
		return w.lease, w.refusal
	default:
		g.waiting.Remove(element)
		return Lease{}, Full
	}
}

// Release releases a slot, records the outcome of its request and serves the queue.
// The latency is used for a Success only.
func (g *Gate) Release(l Lease, outcome Outcome, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Release(l, outcome, latency, g.now())
	g.serveWaiting()
}

// serveWaiting grants slots to the waiting requests in the order of their arrival
// and stops at the first request for which no slot is free. Requests whose rule has
// reached its limits or has been removed are skipped and stay in the queue. g.mu
// must be held.
func (g *Gate) serveWaiting() {
	now := g.now()
	for e := g.waiting.Front(); e != nil; {
		next := e.Next()
		w := e.Value.(*waiter)
		lease, refusal := g.pool.Take(w.rule, now)
		if refusal == Granted {
			w.lease = lease
			g.waiting.Remove(e)
			close(w.ready)
		}
		if refusal == Full {
			return
		}
		e = next
	}
}

// Do runs f on the pool under the gate's lock.
func (g *Gate) Do(f func(p *Pool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.pool)
}

// Report records the load that an upstream has just reported, from 0 to 1.
func (g *Gate) Report(upstream string, load float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Report(upstream, load, g.now())
}

// Load returns the current load of the gate's pool.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Load(g.now())
}

// Waiting returns the number of requests that wait for a slot.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting.Len()
}
