package upstream

import "time"

// deferredEntry is an entry that is not applied until a time.
type deferredEntry struct {
	registration Registration
	until        time.Time
}

// Put adds or updates an upstream. If the entry may have been written late, because it is of an
// earlier run or older than one that said that the run is draining, Put defers it until
// ApplyDeferred and returns false.
func (r *Registry) Put(in Registration, now time.Time) bool {
	last := r.lastRun(in.ID)
	switch {
	case last.past.contains(in.Run()):
		r.deferred[in.ID] = deferredEntry{in, now.Add(StaleEntryGrace)}
	case last.precedesDrain(in):
		r.deferred[in.ID] = deferredEntry{in, now.Add(RestoreGrace)}
	default:
		r.put(in, now)
		return true
	}
	return false
}

// DeferredFor returns how long an upstream's deferred entry is deferred from now on; zero if it has
// none.
func (r *Registry) DeferredFor(id string, now time.Time) time.Duration {
	e, ok := r.deferred[id]
	if !ok {
		return 0
	}
	return max(0, e.until.Sub(now))
}

// PutReverted is Put for an entry of a store that was restored from an older copy. A run that
// was draining stays draining. An entry of an earlier run, or of an upstream that was removed
// since the copy was made, is deferred until ApplyDeferred, because the upstream may have
// terminated and another upstream may use its address.
func (r *Registry) PutReverted(in Registration, now time.Time) bool {
	last := r.lastRun(in.ID)
	in.Draining = in.Draining || last.run == in.Run() && last.draining
	_, removed := r.removed[in.ID]
	if removed || last.past.contains(in.Run()) {
		r.deferred[in.ID] = deferredEntry{in, now.Add(RestoreGrace)}
		return false
	}
	r.put(in, now)
	return true
}

// ApplyDeferred applies the deferred entries whose time has come, and returns them.
func (r *Registry) ApplyDeferred(now time.Time) []Registration {
	var applied []Registration
	for _, e := range r.deferred {
		if !now.Before(e.until) {
			r.put(e.registration, now)
			applied = append(applied, e.registration)
		}
	}
	return applied
}

// precedesDrain reports whether an entry was written before the one that said that the run is
// draining.
func (l lastRun) precedesDrain(in Registration) bool {
	return l.draining && l.run == in.Run() && !in.Draining && in.Sequence < l.sequence
}
