package slot

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// queueFactor bounds the waiting requests as a multiple of the slots held.
const queueFactor = 1

// clockStart is what a gate's clock reads when the gate is made, in
// nanoseconds. It is above zero, so that zero is always long ago.
const clockStart = int64(time.Hour)

// Gate is a pool that many goroutines share, with a short bounded queue. The
// queue is looked at when a slot is released and when the pool is configured;
// the end of an ejection alone wakes no waiting request.
type Gate struct {
	mu      sync.Mutex
	pool    *Pool
	waiting list.List // of *waiter, the longest waiting first
	made    time.Time
	// leaving is set when the host gives its slots up for good.
	leaving bool
}

// waiter is a request that waits for a slot. Lease and refusal are set before ready
// closes.
type waiter struct {
	rule    string
	lease   Lease
	refusal Refusal
	ready   chan struct{}
}

// NewGate makes a gate on an empty pool.
func NewGate() *Gate { return &Gate{pool: NewPool(), made: time.Now()} }

// now reads the gate's monotonic clock, in nanoseconds.
func (g *Gate) now() int64 { return clockStart + int64(time.Since(g.made)) }

// Configure sets what the gate's pool holds.
func (g *Gate) Configure(specs []Spec, rules []RuleSpec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Configure(specs, rules)
	g.serveWaiting()
	g.refuseWaiting()
}

// Leave has the gate refuse with Leaving, once the host holds no slots any more, who
// waits and who comes: it will hold none again.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.refuseWaiting()
}

// left reports whether the host has left and holds no slots. g.mu is held.
func (g *Gate) left() bool { return g.leaving && g.pool.held == 0 }

// refuseWaiting ends all waits once the host has left. g.mu is held.
func (g *Gate) refuseWaiting() {
	if !g.left() {
		return
	}
	for e := g.waiting.Front(); e != nil; e = g.waiting.Front() {
		w := g.waiting.Remove(e).(*waiter)
		w.refusal = Leaving
		close(w.ready)
	}
}

// Acquire takes a slot for a rule, waiting until a time at most, or until ctx
// ends. It waits only when no slot is free, the queue has room and is expected to
// come to it in time: what is not served is refused at once, also by a rule that
// has reached its limits.
func (g *Gate) Acquire(ctx context.Context, rule string, until time.Time) (Lease, Refusal) {
	g.mu.Lock()
	wait := time.Until(until)
	lease, refusal := g.pool.Take(rule, g.now())
	if refusal != Granted && g.left() {
		// Without slots the host has no part of a rule's limits either.
		refusal = Leaving
	}
	if refusal != Full || wait <= 0 || !g.hasRoom() || g.expectedWait() > wait {
		g.mu.Unlock()
		return lease, refusal
	}
	w := &waiter{rule: rule, ready: make(chan struct{})}
	place := g.waiting.PushBack(w)
	g.mu.Unlock()
	return g.wait(ctx, w, place, wait)
}

// hasRoom reports whether one more request may wait. g.mu is held.
func (g *Gate) hasRoom() bool { return g.waiting.Len() < queueFactor*g.pool.held }

// expectedWait is how long a request waits that joins the queue now: on average one
// of the slots in use is released each latency/slots. It is zero while the latency is
// not known. g.mu is held.
func (g *Gate) expectedWait() time.Duration {
	load := g.pool.Load(g.now())
	return g.pool.Latency() * time.Duration(g.waiting.Len()+1) / time.Duration(max(1, load.Warm))
}

// wait gives the slot that w got, or why it gets none, within a time, and else takes it
// out of its place in the queue.
func (g *Gate) wait(ctx context.Context, w *waiter, place *list.Element, d time.Duration) (Lease, Refusal) {
	timer := time.NewTimer(d)
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
		// The end came while the lock was waited for.
		return w.lease, w.refusal
	default:
		g.waiting.Remove(place)
		return Lease{}, Full
	}
}

// Release gives a slot back and serves the queue.
func (g *Gate) Release(l Lease, outcome Outcome, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Release(l, outcome, latency, g.now())
	g.serveWaiting()
}

// serveWaiting grants slots to the waiting requests in the order in which they
// came, up to the first that finds none; it passes over those whose rule has
// reached its limits or is gone. g.mu is held.
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

// Report notes the load that an upstream reported just now, 0 to 1.
func (g *Gate) Report(upstream string, load float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Report(upstream, load, g.now())
}

// Load sums the gate's pool up.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Load(g.now())
}

// Waiting is how many requests wait for a slot.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting.Len()
}
