package link

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPacerWaitsForItsBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, start := NewPacer(testLimit, 0.3), time.Now()
		const chunks = 100
		for range chunks {
			require.NoError(t, p.Wait(t.Context(), Bulk, p.Chunk()))
		}
		sent := p.Sent(Bulk)
		require.Equal(t, int64(chunks*p.Chunk()), sent)
		require.Zero(t, p.Sent(Interactive))
		took := time.Since(start).Seconds()
		require.InDelta(t, testLimit/(1+burst.Seconds()+maxOverdraft.Seconds()), float64(sent)/took, 0.1*testLimit)
	})
}

func TestPacerStopsWaitingWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(1000, 0.3)
		require.NoError(t, p.Wait(t.Context(), Bulk, 100_000), "a single large send may overdraw the bucket")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, p.Wait(ctx, Bulk, 1), context.DeadlineExceeded)
		require.Equal(t, int64(100_000), p.Sent(Bulk), "unsent bytes must not be counted")
	})
}

// TestDemand checks the values by which a host requests loans (a sender had to
// wait) and grants them (the rate used).
func TestDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(testLimit, 0.3)
		time.Sleep(time.Second)
		require.NoError(t, p.Wait(t.Context(), Bulk, 500))
		used, more := p.Demand()
		require.InDelta(t, 500, used, 1)
		require.False(t, more)

		start := time.Now()
		require.NoError(t, p.Wait(t.Context(), Bulk, 100_000))
		require.NoError(t, p.Wait(t.Context(), Bulk, 1))
		used, more = p.Demand()
		require.True(t, more)
		require.InDelta(t, 100_001/time.Since(start).Seconds(), used, 1)
		time.Sleep(time.Second)
		used, more = p.Demand()
		require.Zero(t, used, "only bytes since the last call count")
		require.False(t, more)
	})
}

func TestChunksFitTheLink(t *testing.T) {
	cases := []struct {
		name  string
		limit float64
		want  int
	}{
		{"a fast link uses MaxChunk", 1e9, MaxChunk},
		{"a slow link uses the bytes of 4 ms", testLimit, 3809},
		{"a very slow link uses the minimum", 1000, minChunk},
		{"a limit of 0 uses the minimum", 0, minChunk},
	}
	for _, tc := range cases {
		p := NewPacer(1, 0.3)
		p.Configure(tc.limit, 0.3)
		require.Equal(t, tc.want, p.Chunk(), tc.name)
	}
}
