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
	require.True(t, r.IsDraining("i-1"))
	require.True(t, r.PutReverted(ready("i-1", "z"), now.Add(time.Second)), "the store is restored twice")
	require.Empty(t, ids(r.Set()))
	r.Put(draining("i-1", "z"), now.Add(2*time.Second))
	require.Empty(t, ids(r.Set()))
}

func TestARemovedUpstreamIsNotUsedForAnEntryOfARestoredStore(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// next is the next change of the entry.
		next func(r *upstream.Registry)
		// during and after are the upstreams in use before and after the grace.
		during, after []string
	}{
		{"the removal is written again", func(r *upstream.Registry) { r.Remove("i-1", now, time.Time{}) }, nil, nil},
		{"the upstream is running and writes its entry again", func(r *upstream.Registry) { r.Put(ready("i-1", "z"), now) }, []string{"i-1"}, []string{"i-1"}},
		{"the entry stays", func(*upstream.Registry) {}, nil, []string{"i-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			r.Put(ready("i-1", "z"), now)
			r.Remove("i-1", now, time.Time{})
			require.False(t, r.PutReverted(ready("i-1", "z"), now))
			c.next(r)
			r.ApplyDeferred(now.Add(upstream.RestoreGrace - 1))
			require.Equal(t, c.during, ids(r.Set()))
			r.ApplyDeferred(now.Add(upstream.RestoreGrace))
			require.Equal(t, c.after, ids(r.Set()))
		})
	}
}

func TestAnUpstreamMissingInARestoredStoreHasTimeToRegisterAgain(t *testing.T) {
	now := time.Now()
	again := now.Add(upstream.RestoreGrace - time.Second)
	for _, c := range []struct {
		name string
		// before is the upstream's entry, and next the next change of it.
		before upstream.Registration
		next   func(r *upstream.Registry)
		// kept is whether the upstream is kept, and during and after are the upstreams in use
		// before and after the grace.
		kept          bool
		during, after []string
	}{
		{"an upstream that serves is kept", ready("i-1", "z"), func(*upstream.Registry) {}, true, []string{"i-1"}, nil},
		{"a draining upstream is removed", draining("i-1", "z"), func(*upstream.Registry) {}, false, nil, nil},
		{"it registers again", ready("i-1", "z"), func(r *upstream.Registry) { r.Put(ready("i-1", "z"), now) }, true, []string{"i-1"}, []string{"i-1"}},
		{"the store is restored again", ready("i-1", "z"), func(r *upstream.Registry) { r.StoreRestored(again) }, true, []string{"i-1"}, []string{"i-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			r.Put(c.before, now)
			require.Equal(t, c.kept, r.RemoveReverted("i-1", now))
			c.next(r)
			r.Expire(now.Add(upstream.RestoreGrace - 1))
			require.Equal(t, c.during, ids(r.Set()))
			r.Expire(now.Add(upstream.RestoreGrace))
			require.Equal(t, c.after, ids(r.Set()))
			r.Expire(again.Add(upstream.RestoreGrace))
			if len(c.after) > 0 && c.name != "it registers again" {
				require.Empty(t, ids(r.Set()), "it did not register again")
			}
		})
	}
}
