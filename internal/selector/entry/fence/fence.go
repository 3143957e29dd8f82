// Package fence stops a host from sending requests to upstreams when other hosts
// may have taken over its slots (self-fencing). This can happen after the process
// was paused, or when nothing has responded to the host for a while.
//
// The package tracks when the slots were last confirmed and when the host last
// received a response. The host's loop calls Tick, and the rosters confirm the
// slots again.
package fence

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// maxPause is the maximum gap between two ticks of the host's loop, which
	// runs every 250 ms. After a longer gap the host assumes that it was
	// paused. The value is below member.LostTimeout, the silence after which the
	// slots of a host are reassigned.
	maxPause = 2 * time.Second
	// maxIsolation is the maximum time without a response from any peer,
	// platform or upstream before the host assumes that it is isolated. The
	// value is below member.LostTimeout (5 s), the silence after which a host
	// that the platform lists as stopped loses its slots. In a test, an
	// isolated host stopped sending 4.15 s after it lost all connections.
	maxIsolation = 4 * time.Second
)

// Fence controls whether a host may send new requests to upstreams. It is safe for
// concurrent use.
type Fence struct {
	// now reads a monotonic clock in nanoseconds. The value must be greater than
	// maxPause, because provedAt is 0 while the fence is closed.
	now func() int64

	// provedAt is when the host was last sure to own its slots, and respondedAt
	// is when a peer, the platform or an upstream last responded. Both are
	// readings of now.
	provedAt    atomic.Int64
	respondedAt atomic.Int64
	proving     atomic.Bool
}

// New returns a closed Fence. The function now reads a monotonic clock in
// nanoseconds.
func New(now func() int64) *Fence { return &Fence{now: now} }

// Start opens the fence of a starting host. Such a host holds no slots yet.
func (f *Fence) Start() {
	f.provedAt.Store(f.now())
	f.respondedAt.Store(f.now())
}

// Open reports whether the host may send new requests to upstreams.
func (f *Fence) Open() bool { return f.now()-f.provedAt.Load() < int64(maxPause) }

// Answered records that a peer, the platform or an upstream responded.
func (f *Fence) Answered() { f.respondedAt.Store(f.now()) }

// Close stops the host from sending requests until its slots are confirmed again.
func (f *Fence) Close() { f.provedAt.Store(0) }

// Tick keeps the fence open until the next tick of the host's loop. When the host
// was paused or isolated, Tick closes the fence and calls prove in a goroutine. The
// fence opens again when prove reports that the host has seen the roster of its
// zone. Only one call of prove runs at a time.
func (f *Fence) Tick(ctx context.Context, prove func(context.Context) bool) {
	isolated := f.now()-f.respondedAt.Load() > int64(maxIsolation)
	if f.Open() && !isolated {
		f.provedAt.Store(f.now())
		return
	}
	// A request admitted now may run until its deadline, and the slots may be
	// reassigned after member.LostTimeout plus the longest deadline. Admission
	// therefore stops here.
	f.Close()
	if !f.proving.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.proving.Store(false)
		if prove(ctx) {
			f.Answered()
			f.provedAt.Store(f.now())
		}
	}()
}
