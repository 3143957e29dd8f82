package notice

import (
	"time"

	"cairndock/internal/gateway/upstream"
)

// rest notes that a run wants no request for a time from now on. It does not become shorter
// by a later word, as those come in any order.
func (t *Table) rest(run upstream.Run, d time.Duration, now time.Time) {
	t.mu.Lock()
	rested := now.Before(t.restsUntil[run])
	if until := now.Add(d); until.After(t.restsUntil[run]) {
		t.restsUntil[run] = until
	}
	t.resized()
	t.mu.Unlock()
	if !rested {
		t.reporter.Rests(run, d)
	}
}

// restElsewhere notes that a run wants none of another host for a time.
func (t *Table) restElsewhere(run upstream.Run, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restsElsewhere[run] = now.Add(d)
	t.resized()
}

// RestsElsewhere reports whether an upstream wants no request of another host now. Most
// likely it would refuse this host's as well.
func (t *Table) RestsElsewhere(run upstream.Run, now time.Time) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.restsElsewhere[run])
}
