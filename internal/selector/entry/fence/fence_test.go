package fence

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// newFence returns the fence of a host that has started.
func newFence() *Fence {
	createdAt := time.Now()
	f := New(func() int64 { return int64(time.Hour) + int64(time.Since(createdAt)) })
	f.Start()
	return f
}

// TestFenceCloses checks that a host that was paused, or that receives no responses,
// is fenced until its slots are confirmed.
func TestFenceCloses(t *testing.T) {
	const tick = 250 * time.Millisecond
	cases := []struct {
		name   string
		action func(f *Fence, prove func(context.Context) bool)
		open   bool
	}{
		{"ticks and responses", func(f *Fence, prove func(context.Context) bool) {
			for range 40 {
				time.Sleep(tick)
				f.Answered()
				f.Tick(context.Background(), prove)
			}
		}, true},
		{"no responses", func(f *Fence, prove func(context.Context) bool) {
			for start := time.Now(); time.Since(start) <= maxIsolation; time.Sleep(tick) {
				f.Tick(context.Background(), prove)
			}
			f.Tick(context.Background(), prove)
		}, false},
		{"paused", func(*Fence, func(context.Context) bool) { time.Sleep(maxPause) }, false},
		{"paused, then ticks", func(f *Fence, prove func(context.Context) bool) {
			time.Sleep(maxPause)
			f.Tick(context.Background(), prove)
		}, false},
		{"closed explicitly", func(f *Fence, _ func(context.Context) bool) { f.Close() }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFence()
				require.True(t, f.Open())
				tc.action(f, func(context.Context) bool { return false })
				synctest.Wait()
				require.Equal(t, tc.open, f.Open())
				f.Tick(context.Background(), func(context.Context) bool { return true })
				synctest.Wait()
				require.True(t, f.Open(), "the slots were proved")
			})
		})
	}
}

// TestOneProofAtATime checks that a slow call of prove is not repeated at each tick.
func TestOneProofAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFence()
		f.Close()
		calls := 0
		for range 4 {
			f.Tick(context.Background(), func(context.Context) bool {
				calls++
				time.Sleep(time.Second)
				return true
			})
			synctest.Wait()
			require.False(t, f.Open())
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, calls)
	})
}
