package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

func TestARunThatLeavesDrainsWhateverARestoredStoreSays(t *testing.T) {
	now := time.Now()
	r := newRegistry()
	r.Put(draining("i-1", "z"), now)
	require.True(t, r.PutReverted(ready("i-1", "z"), now))
	require.Empty(t, ids(r.Set()))
	require.True(t, r.Drains("i-1"))
	require.True(t, r.PutReverted(ready("i-1", "z"), now.Add(time.Second)), "the store comes back twice")
	require.Empty(t, ids(r.Set()))
	r.Put(draining("i-1", "z"), now.Add(2*time.Second))
	require.Empty(t, ids(r.Set()))
}

func TestAnUpstreamThatIsGoneIsNotUsedForAnEntryOfARestoredStore(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// then is what becomes of the entry.
		then func(r *upstream.Registry)
		// during and after are the upstreams in use before and after the grace.
		during, after []string
	}{
		{"the removal is written again", func(r *upstream.Registry) { r.Remove("i-1", now, time.Time{}) }, nil, nil},
		{"it lives and writes again", func(r *upstream.Registry) { r.Put(ready("i-1", "z"), now) }, []string{"i-1"}, []string{"i-1"}},
		{"the entry stays", func(*upstream.Registry) {}, nil, []string{"i-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			r.Put(ready("i-1", "z"), now)
			r.Remove("i-1", now, time.Time{})
			require.False(t, r.PutReverted(ready("i-1", "z"), now))
			c.then(r)
			r.ApplyLate(now.Add(upstream.RestoreGrace - 1))
			require.Equal(t, c.during, ids(r.Set()))
			r.ApplyLate(now.Add(upstream.RestoreGrace))
			require.Equal(t, c.after, ids(r.Set()))
		})
	}
}

func TestAnUpstreamThatARestoredStoreLacksHasTimeToRegisterAgain(t *testing.T) {
	now := time.Now()
	again := now.Add(upstream.RestoreGrace - time.Second)
	for _, c := range []struct {
		name string
		// before is the upstream's entry, and then what becomes of it.
		before upstream.Registration
		then   func(r *upstream.Registry)
		// stays says whether it stays, and during and after whether it is in use before and
		// after the grace.
		stays         bool
		during, after []string
	}{
		{"one that serves stays", ready("i-1", "z"), func(*upstream.Registry) {}, true, []string{"i-1"}, nil},
		{"one that left is gone", draining("i-1", "z"), func(*upstream.Registry) {}, false, nil, nil},
		{"it registers again", ready("i-1", "z"), func(r *upstream.Registry) { r.Put(ready("i-1", "z"), now) }, true, []string{"i-1"}, []string{"i-1"}},
		{"the store is restored once more", ready("i-1", "z"), func(r *upstream.Registry) { r.StoreRestored(again) }, true, []string{"i-1"}, []string{"i-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			r.Put(c.before, now)
			require.Equal(t, c.stays, r.RemoveReverted("i-1", now))
			c.then(r)
			r.Expire(now.Add(upstream.RestoreGrace - 1))
			require.Equal(t, c.during, ids(r.Set()))
			r.Expire(now.Add(upstream.RestoreGrace))
			require.Equal(t, c.after, ids(r.Set()))
			r.Expire(again.Add(upstream.RestoreGrace))
			if len(c.after) > 0 && c.name != "it registers again" {
				require.Empty(t, ids(r.Set()), "it did not come back")
			}
		})
	}
}
