package soak

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// settleTime is how long a host or the store must have been without faults before checks
// of time bounds apply. It exceeds every bound in the settings.
const settleTime = 4 * time.Second

// disruptions holds the faults of a host, an upstream or the store.
type disruptions struct {
	mu    sync.Mutex
	spans []*span
}

// span is the period of one fault. The field to is zero while the fault is active.
type span struct{ from, to time.Time }

// begin records a fault that is active until the returned function is called.
func (d *disruptions) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &span{from: time.Now()}
	d.spans = append(d.spans, s)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.to = time.Now()
	}
}

// during reports whether a fault was active at any time between two times, both
// included.
func (d *disruptions) during(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}

// settled reports whether there was no fault for settleTime.
func (d *disruptions) settled() bool {
	now := time.Now()
	return !d.during(now.Add(-settleTime), now)
}

func TestDisruptionsAreSettledOnlyAfterSettleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d disruptions
		require.True(t, d.settled())
		before := time.Now()
		time.Sleep(time.Second)
		endFirst := d.begin()
		time.Sleep(time.Second)
		endSecond := d.begin()
		endFirst()
		time.Sleep(2 * settleTime)
		require.False(t, d.settled(), "the second fault is active")
		endSecond()
		ended := time.Now()
		time.Sleep(settleTime)
		require.False(t, d.settled())
		time.Sleep(time.Millisecond)
		require.True(t, d.settled())

		require.False(t, d.during(before, before))
		require.True(t, d.during(before, before.Add(time.Second)))
		require.True(t, d.during(ended.Add(-time.Second), time.Now()))
		require.False(t, d.during(ended.Add(time.Second), time.Now()))
	})
}
