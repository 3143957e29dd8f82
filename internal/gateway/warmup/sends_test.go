package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSendsCountForAWindow(t *testing.T) {
	var s Sends
	now := time.Now()
	for _, x := range []struct {
		after time.Duration
		cold  bool
	}{{0, false}, {100 * time.Millisecond, true}, {200 * time.Millisecond, true}} {
		s.Add(now.Add(x.after), x.cold).Sent(now.Add(x.after))
	}
	for _, c := range []struct {
		after       time.Duration
		count, cold int
	}{
		{200 * time.Millisecond, 3, 2},
		{Window - time.Millisecond, 3, 2},
		{Window, 2, 2},
		{Window + 100*time.Millisecond, 1, 1},
		{Window + 200*time.Millisecond, 0, 0},
	} {
		require.Equal(t, c.count, s.Count(now.Add(c.after)), c.after)
		require.Equal(t, c.cold, s.Cold(now.Add(c.after)), c.after)
	}
}

func TestAWaitingRequestCountsUntilAWindowAfterItIsSent(t *testing.T) {
	const wait = 5 * time.Second
	now := time.Now()
	for _, c := range []struct {
		name string
		end  func(x *Send)
		// countedFor is the time from the selection countedFor the request no longer counts.
		countedFor time.Duration
	}{
		{"sent late", func(x *Send) { x.Sent(now.Add(wait)) }, wait + Window},
		{"sent late and ended", func(x *Send) { x.Sent(now.Add(wait)); x.End() }, wait + Window},
		{"sent immediately, recorded twice", func(x *Send) { x.Sent(now); x.Sent(now.Add(wait)) }, Window},
		{"ended without being sent", func(x *Send) { x.End() }, Window},
		{"ended before it was recorded as sent", func(x *Send) { x.End(); x.Sent(now.Add(wait)) }, Window},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Sends
			x := s.Add(now, true)
			require.Equal(t, 1, s.Count(now.Add(wait)), "the request is still waiting")
			c.end(x)
			require.Equal(t, 1, s.Count(now.Add(c.countedFor-1)))
			require.Zero(t, s.Count(now.Add(c.countedFor)))
		})
	}
}
