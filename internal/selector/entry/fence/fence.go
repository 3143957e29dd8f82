// Package fence keeps a host from sending to upstreams when it may have lost
// its slots to others (self-fencing): after it was paused, or when nobody has
// answered it for a while.
//
// It owns the times of the last proof and the last answer. It relies on the
// host's loop to call Tick, and on the rosters to prove the slots anew.
package fence

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// maxPause is the longest gap between two ticks of the host's loop (every
	// 250 ms) before the host takes itself for paused: it is below
	// member.LostAfter, the silence after which slots are given away.
	maxPause = 2 * time.Second
	// maxIsolation is the longest silence of peers, platform and upstreams
	// all together before the host takes itself for cut off from everything.
	// It is below member.LostAfter, the silence after which a host that the
	// platform calls gone loses its slots: a cut-off host stopped 4.15 s
	// after the cut, of 5 s (commit 46dc213).
	maxIsolation = 4 * time.Second
)

// Fence says whether a host may send new work to upstreams.
type Fence struct {
	// now reads a monotonic clock in nanoseconds, far above zero.
	now func() int64

	// provedAt is when the host last knew that its slots are its own, and
	// answeredAt when anyone last answered; as read by now.
	provedAt   atomic.Int64
	answeredAt atomic.Int64
	proving    atomic.Bool
}

// New makes a closed Fence. Now reads a monotonic clock, in nanoseconds.
func New(now func() int64) *Fence { return &Fence{now: now} }

// Start opens the fence of a starting host, which holds no slots.
func (f *Fence) Start() {
	f.provedAt.Store(f.now())
	f.answeredAt.Store(f.now())
}

// Open reports whether the host may send new work to upstreams.
func (f *Fence) Open() bool { return f.now()-f.provedAt.Load() < int64(maxPause) }

// Answered notes that a peer, the platform or an upstream answered.
func (f *Fence) Answered() { f.answeredAt.Store(f.now()) }

// Close makes the host prove its slots before it sends anything more.
func (f *Fence) Close() { f.provedAt.Store(0) }

// Tick keeps the fence open from one tick of the host's loop to the next. When
// the host was paused or cut off, it closes the fence and opens it again once
// prove reports that the host has seen its zone's roster.
func (f *Fence) Tick(ctx context.Context, prove func(context.Context) bool) {
	isolated := f.now()-f.answeredAt.Load() > int64(maxIsolation)
	if f.Open() && !isolated {
		f.provedAt.Store(f.now())
		return
	}
	// What is admitted now may run for its deadline, and the slots may be
	// given away after member.LostAfter and as long. So it ends here.
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
