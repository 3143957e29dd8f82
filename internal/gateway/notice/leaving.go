package notice

import (
	"time"

	"cairndock/internal/gateway/upstream"
)

// leavingRun is a run that takes no new work and will end.
type leavingRun struct {
	// learnedAt is when this host learned that the run is leaving, and lastRegistered
	// when the run was last seen registered.
	learnedAt, lastRegistered time.Time
}

// markLeaving records that a run is leaving. No response reverts this, because a response
// without the announcement was merely sent earlier and arrived later.
func (t *Table) markLeaving(run upstream.Run, now time.Time) {
	t.mu.Lock()
	_, known := t.leaving[run]
	if !known {
		t.leaving[run] = &leavingRun{learnedAt: now, lastRegistered: now}
		t.updateSize()
	}
	t.mu.Unlock()
	if !known {
		t.observer.LeavingAnnounced(run)
	}
}
