package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// deadlineHandler responds with the time that is left until the deadline of the stream, in
// milliseconds, or with -1 without a deadline.
type deadlineHandler struct{}

func (deadlineHandler) ServePeer(_ context.Context, _ Hello, _ Kind, _ []byte, w *Responder) {
	left := int64(-1)
	if deadline, ok := w.Deadline(); ok {
		left = time.Until(deadline).Milliseconds()
	}
	_ = w.Send(left) // the peer detects a lost response
}

func TestAStreamHasTheDeadlineOfItsOpener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := memoryMeshes(t, deadlineHandler{})
		leftOf := func(timeout time.Duration) int64 {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			left, err := Call[int64](ctx, client, "", KindForward, "")
			require.NoError(t, err)
			return left
		}
		require.InDelta(t, 700, leftOf(700*time.Millisecond), 1)
		time.Sleep(time.Hour)
		require.InDelta(t, 700, leftOf(700*time.Millisecond), 1)
		left, err := Call[int64](t.Context(), client, "", KindForward, "")
		require.NoError(t, err)
		require.EqualValues(t, -1, left)
	})
}

// The reading of a peer's clock in the Hello was under way for long, so that later deadlines
// were too early. The next pong corrects it.
func TestAPongCorrectsTheClockOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := memoryMeshes(t, &waitHandler{delay: 2 * pingInterval})
		_, err := Call[string](t.Context(), client, "", KindForward, "")
		require.NoError(t, err)
		c := client.dialed[""].usableConn()
		late := peerClock{reading: c.peerClock.reading - time.Minute.Milliseconds(), at: c.peerClock.at}
		c.mu.Lock()
		c.peerClock = late
		c.mu.Unlock()
		_, err = Call[string](t.Context(), client, "", KindForward, "")
		require.NoError(t, err)
		c.mu.Lock()
		defer c.mu.Unlock()
		now := time.Now()
		require.Equal(t, hostClock.reading(now), c.peerClock.readingAt(now))
	})
}

func TestTheClockOfAPeerOfAnOlderVersionIsNotKnown(t *testing.T) {
	c := &conn{}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.Zero(t, c.deadline(ctx))
	c.observeClock(0)
	require.Zero(t, c.deadline(ctx))
	c.observeClock(maxReading + 1)
	require.Zero(t, c.deadline(ctx), "a reading out of range is not one")
	c.observeClock(1000)
	require.InDelta(t, 61000, c.deadline(ctx), 1000)
	require.Zero(t, c.deadline(context.Background()), "there is no deadline")
}

// The monotonic clock of Go stops while the machine is suspended. A request that waited for
// that time would seem to arrive in time.
func TestTheClockIncludesSuspensions(t *testing.T) {
	c := &clock{zero: time.Now()}
	now := c.zero.Add(time.Second)
	require.EqualValues(t, 1000, c.reading(now))
	deadline := c.reading(now.Add(2 * time.Second))
	c.suspended.Add(int64(time.Minute))
	require.EqualValues(t, 61000, c.reading(now))
	require.Equal(t, now.Add(2*time.Second-time.Minute), c.timeAt(deadline), "the deadline has passed")
}
