package soak

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// calmAfter is how long a host or the store must have been without faults for
// rules bound by time to hold: above every bound of the settings.
const calmAfter = 4 * time.Second

// disruptions are the faults of a host, of an upstream or of the store.
type disruptions struct {
	mu    sync.Mutex
	spans []*span
}

// span is the time of one fault; to is zero while it is on.
type span struct{ from, to time.Time }

// begin records a fault that is on until the function given is called.
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

// during reports whether a fault was on at any moment between two times, both
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

// calm reports whether there was none for calmAfter.
func (d *disruptions) calm() bool {
	now := time.Now()
	return !d.during(now.Add(-calmAfter), now)
}

func TestDisruptionsAreCalmOnlyAWhileAfterTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d disruptions
		require.True(t, d.calm())
		before := time.Now()
		time.Sleep(time.Second)
		endFirst := d.begin()
		time.Sleep(time.Second)
		endSecond := d.begin()
		endFirst()
		time.Sleep(2 * calmAfter)
		require.False(t, d.calm(), "the second is on")
		endSecond()
		ended := time.Now()
		time.Sleep(calmAfter)
		require.False(t, d.calm())
		time.Sleep(time.Millisecond)
		require.True(t, d.calm())

		require.False(t, d.during(before, before))
		require.True(t, d.during(before, before.Add(time.Second)))
		require.True(t, d.during(ended.Add(-time.Second), time.Now()))
		require.False(t, d.during(ended.Add(time.Second), time.Now()))
	})
}
