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

// TestAnswered: only a platform that answered counts as heard.
func TestAnswered(t *testing.T) {
	for name, tc := range map[string]struct {
		err      error
		answered int
	}{
		"no error":        {nil, 1},
		"no such row":     {store.ErrNotFound, 1},
		"row has changed": {store.ErrConflict, 1},
		"throttled":       {store.ErrThrottled, 0},
		"not reached":     {errors.New("connection refused"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			answered := 0
			c := New(1, telemetry.NewMetrics(), func() { answered++ })
			require.Equal(t, tc.err, c.Do(context.Background(), func(context.Context) error { return tc.err }))
			require.Equal(t, tc.answered, answered)
		})
	}
}

// TestCallsKeepTheRate: after the burst, calls come at the rate; a call whose
// turn does not come in time is not made.
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
