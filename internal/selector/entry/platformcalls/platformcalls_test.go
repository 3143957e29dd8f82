package platformcalls

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/store"
	"cairndock/internal/telemetry"
)

// The callback for responses must run only if the platform responded, because a
// host uses it to detect that it is isolated.
func TestAnswered(t *testing.T) {
	for name, tc := range map[string]struct {
		err      error
		answered int
	}{
		"no error":        {nil, 1},
		"no such row":     {store.ErrNotFound, 1},
		"row has changed": {store.ErrConflict, 1},
		"throttled":       {store.ErrThrottled, 0},
		"unreachable":     {errors.New("connection refused"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			answered := 0
			c := New(1, telemetry.NewMetrics(), func() { answered++ })
			require.Equal(t, tc.err, c.Do(context.Background(), func(context.Context) error { return tc.err }))
			require.Equal(t, tc.answered, answered)
		})
	}
}

// After the burst, calls must stay within the rate, and a call that cannot start
// before its timeout must not be made.
func TestCallsKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		made := 0
		c := New(0.25, telemetry.NewMetrics(), func() {})
		call := func() error {
			return c.Do(context.Background(), func(context.Context) error { made++; return nil })
		}
		for range burst {
			require.NoError(t, call())
		}
		require.Error(t, call())
		require.Equal(t, burst, made)
		time.Sleep(4 * time.Second)
		require.NoError(t, call())
	})
}
