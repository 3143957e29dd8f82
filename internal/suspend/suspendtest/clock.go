// Package suspendtest provides a clock for tests that simulate suspensions.
package suspendtest

import (
	"sync/atomic"
	"time"
)

// Clock is a suspend.Clock that tests control. The zero value reports no
// suspension.
type Clock struct{ suspended atomic.Int64 }

// Suspended implements suspend.Clock.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Suspend simulates a suspension of the machine for the duration d.
func (c *Clock) Suspend(d time.Duration) { c.suspended.Add(int64(d)) }
