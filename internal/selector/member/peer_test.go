package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAllowedSilence(t *testing.T) {
	const ms, sec = time.Millisecond, time.Second
	cases := []struct {
		name       string
		every, rtt time.Duration
		want       time.Duration
	}{
		{"the least", nearInterval, 0, downAfter},
		{"an interval of one second is still within it", farInterval, 0, downAfter},
		{"a peer asked rarely may miss one heartbeat", 40 * sec, 0, 80 * sec},
		{"two round trips more", 40 * sec, 70 * ms, 80*sec + 140*ms},
	}
	for _, tc := range cases {
		require.Equal(t, tc.want, allowedSilence(tc.every, tc.rtt), tc.name)
	}
}

func TestRoundTripsAreAveraged(t *testing.T) {
	require.Equal(t, 8*time.Millisecond, smooth(0, 8*time.Millisecond), "the first counts whole")
	require.Equal(t, 9*time.Millisecond, smooth(8*time.Millisecond, 16*time.Millisecond), "a later one for an eighth")
}
