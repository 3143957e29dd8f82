// Package pause waits for a time that may be cut short.
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until the context ends. It reports whether the
// whole time has passed.
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
