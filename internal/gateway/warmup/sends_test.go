package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSendsCountForAWindow(t *testing.T) {
	var s Sends
	now := time.Now()
	s.Add(now, false)
	s.Add(now.Add(100*time.Millisecond), true)
	s.Add(now.Add(200*time.Millisecond), true)
	for _, c := range []struct {
		after      time.Duration
		cold, warm int
	}{
		{200 * time.Millisecond, 2, 1},
		{Window - time.Millisecond, 2, 1},
		{Window, 2, 0},
		{Window + 100*time.Millisecond, 1, 0},
		{Window + 200*time.Millisecond, 0, 0},
	} {
		require.Equal(t, c.cold, s.Cold(now.Add(c.after)), c.after)
		require.Equal(t, c.warm, s.Warm(now.Add(c.after)), c.after)
	}
}
