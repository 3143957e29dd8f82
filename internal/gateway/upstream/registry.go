package upstream

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LapseGrace is how long, after the store is available again, an entry that lapsed
	// during the outage may take to be written again. The platform deletes an entry after
	// three missed heartbeats, and upstreams write their entries once the store is
	// available again. Without this grace, an outage of an overloaded store removed all
	// upstreams from the hosts (docs/design/platform.md).
	LapseGrace = 2200 * time.Millisecond
	// RestoreGrace is how long, after the store was restored from an older copy, the lost
	// writes may take to be repeated: by upstreams with a heartbeat, every 1 to 1.5 s, and
	// by operators once they notice. The platform removes an upstream that misses three
	// heartbeats. It is also how long an entry of a draining run that was written before
	// the drain is ignored.
	RestoreGrace = 10 * time.Second
	// removedRetention is how long, at least, the state of a removed upstream is kept. An
	// upstream whose entry is written again within this time has not restarted.
	removedRetention = time.Minute
	// leavingRetention is how long the registry keeps that a run is leaving. It exceeds the
	// time that any upstream takes to terminate.
	leavingRetention = time.Hour
	// StaleEntryGrace is how long an entry of an earlier run is ignored. If the entry was
	// delayed, the present run writes its own again by then, because upstreams write theirs
	// every 1 to 1.5 s. If not, the earlier run is the present one after all, and another
	// writer had overwritten its entry. The value is below the 2 s within which a drain
	// must be in force.
	StaleEntryGrace = 1600 * time.Millisecond
	// maxPastRuns is how many earlier runs of an upstream are kept, so that a delayed entry
	// of one of them is not mistaken for a restart. Entries are delayed by seconds, and a
	// process that restarts more than four times in a few seconds serves nothing anyway.
	maxPastRuns = 4
)

// Registry derives the set of upstreams from their entries in the store. It is plain state
// without locks.
type Registry struct {
	upstreams map[string]*Upstream
	// evacuated has the zones whose upstreams receive nothing.
	evacuated map[string]bool
	// synced means that all upstreams that were running at the host's start are known.
	synced bool
	// removed has the upstreams that were removed recently.
	removed map[string]tombstone
	warmUp  func(service string) time.Duration
	// leaving has the runs that announced in a response that they are leaving, and when
	// this was recorded. It applies whatever their entries contain.
	leaving map[Run]time.Time
	// deferred has the entries that are not applied yet: entries of earlier runs that
	// arrived after those of later runs, entries from before a drain that arrived after it,
	// and entries of removed upstreams in a store that was restored from an older copy.
	deferred map[string]deferredEntry
	// set is the last set that was made, and changed has the ids of the upstreams that were
	// added, changed or removed since.
	set     *Set
	changed map[string]bool
}

// tombstone is the state that is kept of a removed upstream.
type tombstone struct {
	at time.Time
	lastRun
}

// lastRun is the state of an upstream's last run.
type lastRun struct {
	run       Run
	coldUntil time.Time
	// draining is set if the run was draining.
	draining bool
	// sequence is that of the run's latest entry.
	sequence int64
	// past are the runs before it.
	past pastRuns
}

// NewRegistry returns an empty registry. warmUp returns how long an upstream of a service is
// cold after its start.
func NewRegistry(warmUp func(service string) time.Duration) *Registry {
	return &Registry{
		upstreams: map[string]*Upstream{}, evacuated: map[string]bool{}, removed: map[string]tombstone{}, warmUp: warmUp,
		leaving: map[Run]time.Time{}, deferred: map[string]deferredEntry{}, set: &Set{}, changed: map[string]bool{},
	}
}

// MarkSynced marks the end of the first complete read of the store. An upstream that appears
// from now on has just started.
func (r *Registry) MarkSynced() { r.synced = true }

// put adds or updates an upstream at once. An entry without a change has no effect, because
// upstreams write theirs again and again: the set and all that is cached for it stay valid.
func (r *Registry) put(in Registration, now time.Time) {
	run, last := in.Run(), r.lastRun(in.ID)
	if last.run == "" && in.StartedAt == 0 {
		// The upstream is new, or was removed longer than removedRetention ago. Its entry
		// has no start time, so that the process may have restarted.
		delete(r.leaving, run)
	}
	in.Draining = in.Draining || r.IsLeaving(run)
	delete(r.deferred, in.ID)
	if r.isCurrent(in) {
		r.upstreams[in.ID] = r.upstreams[in.ID].withSequence(in.Sequence)
		return
	}
	past := last.past.without(run)
	if last.run != "" && last.run != run {
		past = past.with(last.run)
	}
	r.upstreams[in.ID] = &Upstream{Registration: in, run: run, seed: xxhash.Sum64String(in.ID), past: past, ColdUntil: r.coldUntil(in, last, now)}
	r.changed[in.ID] = true
	delete(r.removed, in.ID)
}

// Changed reports whether an upstream was added, changed or removed since the last set.
func (r *Registry) Changed(id string) bool { return r.changed[id] }

// isCurrent reports whether an entry says what is known. An upstream that is cold reports the
// remaining time anew with each entry, and one whose entry lapsed has it again.
func (r *Registry) isCurrent(in Registration) bool {
	u := r.upstreams[in.ID]
	return u != nil && u.Registration.equal(in) && in.ColdLeft == 0 && u.expiresAt.IsZero()
}

// MarkLeaving marks a run as draining for the rest of the run, whatever its entry contains
// now or later. An upstream that cannot reach the store announces this in its responses only.
func (r *Registry) MarkLeaving(run Run, now time.Time) {
	maps.DeleteFunc(r.leaving, func(_ Run, since time.Time) bool { return now.Sub(since) >= leavingRetention })
	r.leaving[run] = now
	for id, u := range r.upstreams {
		if u.Run() == run && !u.Draining {
			draining := *u
			draining.Draining = true
			r.upstreams[id] = &draining
			r.changed[id] = true
		}
	}
}

// IsLeaving reports whether a run announced in a response that it is leaving.
func (r *Registry) IsLeaving(run Run) bool {
	_, ok := r.leaving[run]
	return ok
}

// IsDraining reports whether an upstream's last known run was draining.
func (r *Registry) IsDraining(id string) bool { return r.lastRun(id).draining }

// lastRun returns the state of an upstream's last run, which may have been removed recently;
// the zero value if there is none.
func (r *Registry) lastRun(id string) lastRun {
	if u := r.upstreams[id]; u != nil {
		return u.lastRun()
	}
	return r.removed[id].lastRun
}

// coldUntil returns the time until which a registered upstream is cold. A run that is known,
// or was removed recently, keeps its time. A run that is new after the first complete read of
// the store has just started, and is cold for its service's warm-up. If a run reports a longer
// time itself, that time applies.
func (r *Registry) coldUntil(in Registration, last lastRun, now time.Time) time.Time {
	var until time.Time
	if last.run == in.Run() {
		until = last.coldUntil
	} else if r.synced {
		until = now.Add(r.warmUp(in.Service))
	}
	if in.ColdLeft > 0 {
		until = later(until, now.Add(in.ColdLeft))
	}
	return until
}

// Remove removes an upstream whose entry was deleted from the store, unless the entry may have
// lapsed because the upstream could not reach the store. In this case the upstream is kept
// until Expire, and Remove returns true. storeRecovered is when the store last became available
// again after an outage; zero is never.
func (r *Registry) Remove(id string, now, storeRecovered time.Time) (kept bool) {
	delete(r.deferred, id)
	u := r.upstreams[id]
	if u == nil {
		return false
	}
	if storeRecovered.IsZero() {
		r.remove(u, now)
		return false
	}
	return r.keepUntil(u, storeRecovered.Add(LapseGrace), now)
}

// RemoveReverted removes an upstream that has no entry in a store that was restored from an
// older copy. Unless the upstream is draining, it may have registered since the copy was made:
// it is kept until Expire, and RemoveReverted returns true.
func (r *Registry) RemoveReverted(id string, now time.Time) (kept bool) {
	delete(r.deferred, id)
	u := r.upstreams[id]
	if u == nil {
		return false
	}
	return r.keepUntil(u, now.Add(RestoreGrace), now)
}

// StoreRestored restarts the grace of all upstreams without an entry and of all deferred
// entries, because the store was restored from an older copy again.
func (r *Registry) StoreRestored(now time.Time) {
	for _, u := range r.upstreams {
		if !u.expiresAt.IsZero() {
			r.keepUntil(u, now.Add(RestoreGrace), now)
		}
	}
	for id, e := range r.deferred {
		r.deferred[id] = deferredEntry{e.registration, now.Add(RestoreGrace)}
	}
}

// keepUntil keeps an upstream without an entry until a time. If the time has passed, or the
// upstream had announced its termination by draining, keepUntil removes it and returns false.
func (r *Registry) keepUntil(u *Upstream, until, now time.Time) (kept bool) {
	if u.Draining || !now.Before(until) {
		r.remove(u, now)
		return false
	}
	lapsed := *u
	lapsed.expiresAt = until
	r.upstreams[u.ID] = &lapsed
	r.changed[u.ID] = true
	return true
}

// remove removes an upstream and keeps the state of its last run.
func (r *Registry) remove(u *Upstream, now time.Time) {
	delete(r.upstreams, u.ID)
	r.changed[u.ID] = true
	maps.DeleteFunc(r.removed, func(_ string, past tombstone) bool { return now.Sub(past.at) >= removedRetention })
	r.removed[u.ID] = tombstone{at: now, lastRun: u.lastRun()}
}

// Discard removes an upstream whose entry cannot be decoded any more, and reports whether the
// upstream was known. Once the entry can be decoded again, the upstream is the same unless its
// run is another.
func (r *Registry) Discard(id string, now time.Time) bool {
	delete(r.deferred, id)
	u := r.upstreams[id]
	if u == nil {
		return false
	}
	r.remove(u, now)
	return true
}

// Expire removes the upstreams whose entries lapsed and were not written again in time, and
// returns them.
func (r *Registry) Expire(now time.Time) []Registration {
	var expired []Registration
	for _, u := range r.upstreams {
		if !u.expiresAt.IsZero() && !now.Before(u.expiresAt) {
			expired = append(expired, u.Registration)
			r.remove(u, now)
		}
	}
	return expired
}

// Evacuate sets the zones whose upstreams receive nothing. When the evacuation of a zone ends,
// the zone's upstreams are cold.
func (r *Registry) Evacuate(zones map[string]bool, now time.Time) {
	for id, u := range r.upstreams {
		if r.evacuated[u.Zone] != zones[u.Zone] {
			r.changed[id] = true
		}
		if r.evacuated[u.Zone] && !zones[u.Zone] {
			cold := *u
			cold.ColdUntil = later(u.ColdUntil, now.Add(r.warmUp(u.Service)))
			r.upstreams[id] = &cold
		}
	}
	r.evacuated = maps.Clone(zones)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
