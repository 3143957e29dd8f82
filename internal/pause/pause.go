// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for the duration d or until the context ends. It reports whether
// the full duration has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
