package watch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAFailingSourceIsRetriedLessAndLessOften(t *testing.T) {
	now := time.Now()
	s := newSourceState()
	require.True(t, s.recordFailure(errors.New("503"), maxRetry, now), "the first failure is reported")
	require.False(t, s.recordFailure(errors.New("503"), maxRetry, now))
	for range 10 {
		s.recordFailure(errors.New("503"), maxRetry, now)
		require.GreaterOrEqual(t, s.retryAt.Sub(now), firstRetry/2)
		require.LessOrEqual(t, s.retryAt.Sub(now), maxRetry)
	}
	require.Equal(t, maxRetry, s.retry)
	require.Equal(t, firstSlack, s.slack, "only a late response calls for more time")
	for range 10 {
		s.recordFailure(context.DeadlineExceeded, maxRetry, now)
	}
	require.Equal(t, maxSlack, s.slack)
	require.Equal(t, now, s.recordSuccess())
	require.Equal(t, newSourceState().slack, s.slack)
	require.Equal(t, newSourceState().retry, s.retry)
	require.Zero(t, s.recordSuccess(), "a success is no return")
}
