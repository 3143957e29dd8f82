package upstream

import (
	"time"

	"github.com/rotisserie/eris"
)

// Check returns an error if an entry cannot be the upstream's own: it lacks the start time, and
// the entry of the upstream's last known run had one. A program that writes its start time
// always does. Another writer's entry names no run, and must not be taken for the next one,
// which is not draining. An earlier program, which writes none, is known by its entry once the
// last run is forgotten.
func (r *Registry) Check(in Registration, now time.Time) error {
	last := r.lastRun(in.ID)
	if in.StartedAt != 0 || last.run == "" || last.run == in.Run() {
		return nil
	}
	if r.upstreams[in.ID] == nil && now.Sub(r.removed[in.ID].at) >= removedRetention {
		return nil
	}
	return eris.Errorf("the entry has no start time, but that of run %s had one", last.run)
}
