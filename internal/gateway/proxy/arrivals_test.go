package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheRateIsThatOfTheLastTwoSeconds(t *testing.T) {
	start := time.Unix(100, 0)
	var a arrivals
	require.Zero(t, a.rate(start))
	for i := range 300 { // 100 requests per second
		a.add(start.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{
		{3 * time.Second, 100},
		{3500 * time.Millisecond, 75},
		{4500 * time.Millisecond, 25},
		{5 * time.Second, 0},
		{time.Hour, 0},
		{0, 0}, // the clock was set back
	} {
		require.Equal(t, c.want, a.rate(start.Add(c.after)), c.after)
	}
}
