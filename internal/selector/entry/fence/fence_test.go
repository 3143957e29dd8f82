package fence

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// newFence is the fence of a host that has started.
func newFence() *Fence {
	made := time.Now()
	f := New(func() int64 { return int64(time.Hour) + int64(time.Since(made)) })
	f.Start()
	return f
}

// TestFenceCloses: a host that was paused or that nobody answers is fenced
// until it has proved its slots.
func TestFenceCloses(t *testing.T) {
	const tick = 250 * time.Millisecond
	cases := []struct {
		name   string
		happen func(f *Fence, proves func(context.Context) bool)
		open   bool
	}{
		{"ticks and answers", func(f *Fence, proves func(context.Context) bool) {
			for range 40 {
				time.Sleep(tick)
				f.Answered()
				f.Tick(context.Background(), proves)
			}
		}, true},
		{"nobody answers", func(f *Fence, proves func(context.Context) bool) {
			for began := time.Now(); time.Since(began) <= maxIsolation; time.Sleep(tick) {
				f.Tick(context.Background(), proves)
			}
			f.Tick(context.Background(), proves)
		}, false},
		{"paused", func(*Fence, func(context.Context) bool) { time.Sleep(maxPause) }, false},
		{"paused, then ticks", func(f *Fence, proves func(context.Context) bool) {
			time.Sleep(maxPause)
			f.Tick(context.Background(), proves)
		}, false},
		{"closed by hand", func(f *Fence, _ func(context.Context) bool) { f.Close() }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFence()
				require.True(t, f.Open())
				tc.happen(f, func(context.Context) bool { return false })
				synctest.Wait()
				require.Equal(t, tc.open, f.Open())
				f.Tick(context.Background(), func(context.Context) bool { return true })
				synctest.Wait()
				require.True(t, f.Open(), "the slots were proved")
			})
		})
	}
}

// TestOneProofAtATime: a slow proof is not asked for again at each tick.
func TestOneProofAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFence()
		f.Close()
		asked := 0
		for range 4 {
			f.Tick(context.Background(), func(context.Context) bool {
				asked++
				time.Sleep(time.Second)
				return true
			})
			synctest.Wait()
			require.False(t, f.Open())
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, asked)
	})
}
