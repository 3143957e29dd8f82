package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/pause"
)

func TestForEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.True(t, pause.For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, pause.For(ctx, time.Minute))
		require.Equal(t, 2*time.Second, time.Since(began))
	})
}
