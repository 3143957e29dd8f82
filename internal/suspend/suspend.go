// Package suspend tells how long the machine was suspended.
//
// A suspended machine stands still like a paused process, but its monotonic clock, by
// which Go measures all times, stands still with it: whatever is believed by its age
// looks younger by the whole suspension, and a deadline further away. Linux counts that
// time in CLOCK_BOOTTIME alone. A Watch compares the two clocks when it is asked, which
// its users do before they rely on an age, and has them correct what they keep.
package suspend

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells how long the machine was suspended since a fixed moment.
type Clock interface {
	Suspended() time.Duration
}

// Machine is the clock of this machine.
type Machine struct{}

// Suspended returns for how long the machine was suspended since it started. It may be
// too low for a moment, when the thread is preempted between the two readings, but never
// too high. It is zero where the clocks can't be read, as on a kernel without them.
func (Machine) Suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// minGap is the least suspension that counts: below it the readings scatter, and
// nothing is believed for so short a time.
const minGap = 50 * time.Millisecond

// Watch finds suspensions. It is safe for concurrent use.
type Watch struct {
	clock Clock
	first time.Duration
	// total is the time suspended since the watch was made, in nanoseconds.
	total atomic.Int64

	// mu is held while listeners are called.
	mu        sync.Mutex
	listeners []func(gap time.Duration)
}

// NewWatch makes a watch of a clock. It counts from now on.
func NewWatch(c Clock) *Watch { return &Watch{clock: c, first: c.Suspended()} }

// OnGap has f called with the length of each suspension that is found. All listeners
// are set before the watch is used.
func (w *Watch) OnGap(f func(gap time.Duration)) { w.listeners = append(w.listeners, f) }

// Check looks for a suspension since the last call, and calls the listeners if there was
// one. When it returns, also to another caller, they have been called.
func (w *Watch) Check() {
	total := w.clock.Suspended() - w.first
	if total-w.Total() < minGap {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	gap := total - w.Total()
	if gap < minGap {
		return // another caller has found it
	}
	for _, f := range w.listeners {
		f(gap)
	}
	w.total.Store(int64(total))
}

// Total is the time suspended since the watch was made, as far as Check found it.
func (w *Watch) Total() time.Duration { return time.Duration(w.total.Load()) }
