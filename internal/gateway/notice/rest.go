package notice

import (
	"time"

	"cairndock/internal/gateway/upstream"
)

// setBackoff records that a run wants no request from this host for a time from now on. A
// later, shorter backoff does not shorten the current one, because responses arrive in any
// order.
func (t *Table) setBackoff(run upstream.Run, d time.Duration, now time.Time) {
	t.mu.Lock()
	backingOff := now.Before(t.backoffUntil[run])
	if until := now.Add(d); until.After(t.backoffUntil[run]) {
		t.backoffUntil[run] = until
	}
	t.updateSize()
	t.mu.Unlock()
	if !backingOff {
		t.observer.BackoffRequested(run, d)
	}
}

// setBackoffElsewhere records that a run wants no request from another host for a time.
func (t *Table) setBackoffElsewhere(run upstream.Run, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffElsewhereUntil[run] = now.Add(d)
	t.updateSize()
}

// BackoffElsewhere reports whether a run wants no request from another host now. It would
// probably refuse requests of this host as well.
func (t *Table) BackoffElsewhere(run upstream.Run, now time.Time) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.backoffElsewhereUntil[run])
}
