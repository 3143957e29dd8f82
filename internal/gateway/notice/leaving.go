package notice

import (
	"time"

	"cairndock/internal/gateway/upstream"
)

// leaver is a run that leaves.
type leaver struct {
	// told is when it became known, and registered when it was last registered.
	told, registered time.Time
}

// leave notes that a run leaves. No response ends that: one that does not say so is only
// slower.
func (t *Table) leave(run upstream.Run, now time.Time) {
	t.mu.Lock()
	_, known := t.leaving[run]
	if !known {
		t.leaving[run] = &leaver{told: now, registered: now}
		t.resized()
	}
	t.mu.Unlock()
	if !known {
		t.reporter.Leaves(run)
	}
}
