// Package suspendtest has a clock that tests suspend.
package suspendtest

import (
	"sync/atomic"
	"time"
)

// Clock is a suspend.Clock. The zero value was never suspended.
type Clock struct{ suspended atomic.Int64 }

// Suspended implements suspend.Clock.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Suspend has the machine suspended for a time.
func (c *Clock) Suspend(d time.Duration) { c.suspended.Add(int64(d)) }
