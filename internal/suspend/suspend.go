// Package suspend detects how long the machine was suspended.
//
// A suspended machine stops like a paused process, but its monotonic clock,
// which Go uses to measure durations, stops too. Data whose validity depends on
// its age therefore appears younger by the duration of the suspension, and a
// deadline appears further away. On Linux, only CLOCK_BOOTTIME includes the
// time of suspension. A Watch compares the two clocks when Check is called.
// Users call Check before they rely on an age, and their listeners correct the
// times that they have stored.
package suspend

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures how long the machine was suspended since a fixed moment.
type Clock interface {
	Suspended() time.Duration
}

// Machine is the Clock of this machine.
type Machine struct{}

// Suspended returns how long the machine was suspended since it started. The
// result may briefly be too low if the thread is preempted between the two
// clock readings, but it is never too high. It is zero if the clocks cannot be
// read, as on a kernel without them.
func (Machine) Suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// minGap is the minimum duration of a suspension to be reported. Below it, the
// clock readings vary, and no stored data expires within such a short time.
const minGap = 50 * time.Millisecond

// Watch detects suspensions. It is safe for concurrent use after all listeners
// are set.
type Watch struct {
	clock Clock
	first time.Duration
	// total is the detected suspension time since the watch was created, in
	// nanoseconds.
	total atomic.Int64

	// mu is held while listeners are called.
	mu        sync.Mutex
	listeners []func(gap time.Duration)
}

// NewWatch returns a watch that detects suspensions from now on.
func NewWatch(c Clock) *Watch { return &Watch{clock: c, first: c.Suspended()} }

// OnGap registers f to be called with the duration of each detected suspension.
// All listeners must be registered before the watch is used.
func (w *Watch) OnGap(f func(gap time.Duration)) { w.listeners = append(w.listeners, f) }

// Check detects whether the machine was suspended since the last call and calls
// the listeners if so. When Check returns, the listeners have been called, even
// if a concurrent call detected the suspension.
func (w *Watch) Check() {
	total := w.clock.Suspended() - w.first
	if total-w.Total() < minGap {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	gap := total - w.Total()
	if gap < minGap {
		return // a concurrent call has detected it
	}
	for _, f := range w.listeners {
		f(gap)
	}
	w.total.Store(int64(total))
}

// Total returns the suspension time since the watch was created, as far as
// Check has detected it.
func (w *Watch) Total() time.Duration { return time.Duration(w.total.Load()) }
