package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDownTimeout(t *testing.T) {
	const ms, sec = time.Millisecond, time.Second
	cases := []struct {
		name          string
		interval, rtt time.Duration
		want          time.Duration
	}{
		{"the minimum", minNearInterval, 0, minDownTimeout},
		{"an interval of one second does not exceed the minimum", minFarInterval, 0, minDownTimeout},
		{"a long interval allows for one lost heartbeat", 40 * sec, 0, 80 * sec},
		{"two round trips are added", 40 * sec, 70 * ms, 80*sec + 140*ms},
	}
	for _, tc := range cases {
		require.Equal(t, tc.want, downTimeout(tc.interval, tc.rtt), tc.name)
	}
}

func TestRoundTripTimesAreAveraged(t *testing.T) {
	require.Equal(t, 8*time.Millisecond, smooth(0, 8*time.Millisecond), "the first sample sets the average")
	require.Equal(t, 9*time.Millisecond, smooth(8*time.Millisecond, 16*time.Millisecond), "a later sample has a weight of one eighth")
}
