package watch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAFailingSourceIsRetriedWithBackoff(t *testing.T) {
	now := time.Now()
	s := newSourceState()
	require.True(t, s.recordFailure(errors.New("503"), maxBackoff, now), "the first failure is reported")
	require.False(t, s.recordFailure(errors.New("503"), maxBackoff, now))
	for range 10 {
		s.recordFailure(errors.New("503"), maxBackoff, now)
		require.GreaterOrEqual(t, s.retryAt.Sub(now), initialBackoff/2)
		require.LessOrEqual(t, s.retryAt.Sub(now), maxBackoff)
	}
	require.Equal(t, maxBackoff, s.backoff)
	require.Equal(t, initialSlack, s.slack, "only a timeout increases the slack")
	for range 10 {
		s.recordFailure(context.DeadlineExceeded, maxBackoff, now)
	}
	require.Equal(t, maxSlack, s.slack)
	require.Equal(t, now, s.recordSuccess())
	require.Equal(t, newSourceState().slack, s.slack)
	require.Equal(t, newSourceState().backoff, s.backoff)
	require.Zero(t, s.recordSuccess(), "a success without failures before it ends none")
}
