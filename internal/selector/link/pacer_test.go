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
		p, began := NewPacer(testLimit, 0.3), time.Now()
		const chunks = 100
		for range chunks {
			require.NoError(t, p.Wait(t.Context(), Bulk, p.Chunk()))
		}
		sent := p.Sent(Bulk)
		require.Equal(t, int64(chunks*p.Chunk()), sent)
		require.Zero(t, p.Sent(Interactive))
		took := time.Since(began).Seconds()
		require.InDelta(t, testLimit/(1+burst.Seconds()+debt.Seconds()), float64(sent)/took, 0.1*testLimit)
	})
}

func TestPacerStopsWaitingWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(1000, 0.3)
		require.NoError(t, p.Wait(t.Context(), Bulk, 100_000), "what is sent whole may go ahead")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, p.Wait(ctx, Bulk, 1), context.DeadlineExceeded)
		require.Equal(t, int64(100_000), p.Sent(Bulk), "what did not go is not counted")
	})
}

// TestDemand: a host asks for a loan when something had to wait, and lends by
// what it used.
func TestDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(testLimit, 0.3)
		time.Sleep(time.Second)
		require.NoError(t, p.Wait(t.Context(), Bulk, 500))
		used, more := p.Demand()
		require.InDelta(t, 500, used, 1)
		require.False(t, more)

		began := time.Now()
		require.NoError(t, p.Wait(t.Context(), Bulk, 100_000))
		require.NoError(t, p.Wait(t.Context(), Bulk, 1))
		used, more = p.Demand()
		require.True(t, more)
		require.InDelta(t, 100_001/time.Since(began).Seconds(), used, 1)
		time.Sleep(time.Second)
		used, more = p.Demand()
		require.Zero(t, used, "since the last time only")
		require.False(t, more)
	})
}

func TestChunksFitTheLink(t *testing.T) {
	cases := []struct {
		name  string
		limit float64
		want  int
	}{
		{"a fast link takes whole chunks", 1e9, MaxChunk},
		{"a slow one as much as passes in 4 ms", testLimit, 3809},
		{"and never less than the least", 1000, leastChunk},
		{"nor with no limit to speak of", 0, leastChunk},
	}
	for _, tc := range cases {
		p := NewPacer(1, 0.3)
		p.Configure(tc.limit, 0.3)
		require.Equal(t, tc.want, p.Chunk(), tc.name)
	}
}
