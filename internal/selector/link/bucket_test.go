package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testLimit = 1_000_000.0

// sending is one chunk that the bucket admitted.
type sending struct {
	at    time.Duration
	class Class
	n     int
}

// drive offers bulk traffic continuously and interactive traffic at a rate in
// bytes per second. It returns the admitted chunks and the longest wait of an
// interactive chunk.
func drive(b *bucket, length time.Duration, interactive float64) (sent []sending, slowest time.Duration) {
	const step = 500 * time.Microsecond
	const interactiveChunk = 1000
	var bulkAt, dueAt time.Duration
	var queue []time.Duration
	for now := time.Duration(0); now < length; now += step {
		for interactive > 0 && now >= dueAt {
			queue = append(queue, dueAt)
			dueAt += time.Duration(interactiveChunk / interactive * float64(time.Second))
		}
		for len(queue) > 0 && b.take(Interactive, interactiveChunk, int64(now)) == 0 {
			sent = append(sent, sending{now, Interactive, interactiveChunk})
			slowest = max(slowest, now-queue[0])
			queue = queue[1:]
		}
		if now >= bulkAt {
			wait := b.take(Bulk, MaxChunk, int64(now))
			if wait == 0 {
				sent = append(sent, sending{now, Bulk, MaxChunk})
			}
			bulkAt = now + wait
		}
	}
	return sent, slowest
}

func total(sent []sending, class Class) (n int) {
	for _, s := range sent {
		if s.class == class {
			n += s.n
		}
	}
	return n
}

// TestLimitHoldsInEverySecond checks the limit in every window of one second.
func TestLimitHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interactive := rapid.Float64Range(1000, 2*testLimit).Draw(t, "interactive")
		sent, _ := drive(newBucket(testLimit, 0.3, 0), 3*time.Second, interactive)
		for i := range sent {
			sum := 0
			for j := i; j < len(sent) && sent[j].at < sent[i].at+time.Second; j++ {
				sum += sent[j].n
			}
			// The tolerance is one chunk, because a chunk is never split.
			if sum > testLimit+MaxChunk {
				t.Fatalf("%d bytes in the second after %s", sum, sent[i].at)
			}
		}
	})
}

func TestBulkUsesWhatInteractiveLeaves(t *testing.T) {
	for _, interactive := range []float64{0, 0.1 * testLimit, 0.3 * testLimit, 0.6 * testLimit} {
		const length = 10 * time.Second
		sent, slowest := drive(newBucket(testLimit, 0.3, 0), length, interactive)
		left := (testLimit - interactive) * length.Seconds()
		t.Logf("interactive %.0f B/s: bulk used %.0f%% of the rest, slowest interactive chunk waited %s",
			interactive, 100*float64(total(sent, Bulk))/left, slowest)
		require.GreaterOrEqual(t, float64(total(sent, Bulk)), 0.8*left)
		require.InDelta(t, interactive*length.Seconds(), float64(total(sent, Interactive)), 0.02*testLimit*length.Seconds())
		require.Less(t, slowest, 5*time.Millisecond)
	}
}
