package watch

import (
	"context"
	"sync"
	"time"

	"cairndock/internal/pause"
)

// runBackups polls further sources while the replica is overdue, until the context ends. The
// polls are concurrent, so that the timeouts of sources that do not respond do not add up.
func (w *Watcher) runBackups(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	for ctx.Err() == nil {
		pause.For(ctx, w.untilBackup())
		if ctx.Err() != nil || !w.overdue() {
			continue
		}
		if source, ok := w.takeSource(time.Now()); ok {
			polls.Go(func() { _, _ = w.poll(ctx, source) }) // poll records the error
		}
	}
}

// untilBackup returns the time until the next backup may be necessary.
func (w *Watcher) untilBackup() time.Duration {
	interval := w.timing.fraction(backupIntervalFraction)
	if !w.replica.isSynced() {
		return interval
	}
	return max(interval, w.timing.fraction(overdueFraction)-w.replica.Age()+time.Millisecond)
}

// overdue reports whether the replica should have been confirmed by now. Before the first listing
// it is not, because there is nothing to confirm.
func (w *Watcher) overdue() bool {
	return w.replica.isSynced() && w.replica.Age() > w.timing.fraction(overdueFraction)
}
