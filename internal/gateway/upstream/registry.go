package upstream

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LapseGrace is how long after the store's return an entry that lapsed
	// while it was away may take to come back. The platform drops an entry
	// after three missed heartbeats; upstreams write again once the store is
	// back. Without it an outage of a busy store took all upstreams from the
	// hosts (docs/design/platform.md has the days); no other value was tried.
	LapseGrace = 2200 * time.Millisecond
	// RestoreGrace is how long after the store came back from an older copy what it lost may
	// take to be written again: by upstreams with a heartbeat, each 1 to 1.5 s, by operators
	// once they notice. The platform removes an upstream that does not write within three.
	RestoreGrace = 10 * time.Second
	// rememberFor is how long, at least, a removed upstream is remembered: one
	// whose entry comes back within that time has not restarted.
	rememberFor = time.Minute
	// leavingKept is how long it is known of a run that it leaves: above the time that any
	// upstream takes to end.
	leavingKept = time.Hour
	// LateGrace is how long an entry of an earlier run is ignored. If it was late, the
	// present run writes its own again by then, as upstreams do each 1 to 1.5 s; if
	// not, that run is the present one after all, and what stood there in between was
	// someone else's. Below the 2 s within which a drain must be in force.
	LateGrace = 1600 * time.Millisecond
	// maxPastRuns is how many earlier runs of an upstream are remembered, so that
	// an entry which one of them wrote late is not taken for a restart: an entry is
	// late by seconds, and a process that starts again more often than four times
	// in that time serves nothing anyway.
	maxPastRuns = 4
)

// Registry derives the set of upstreams from their entries in the store. It is
// a plain state without locks.
type Registry struct {
	upstreams map[string]*Upstream
	// evacuated has the zones that receive nothing.
	evacuated map[string]bool
	// synced means that all upstreams that were running at the host's start
	// are known.
	synced bool
	// removed has the upstreams that were removed lately.
	removed map[string]tombstone
	warmUp  func(service string) time.Duration
	// leaving has the runs that said in a response that they leave, and since when, whatever
	// their entries say.
	leaving map[Run]time.Time
	// late has the entries that are put off: of earlier runs, which came after those of later
	// ones, and of upstreams that were removed, from a store that came back from an older copy.
	late map[string]lateEntry
	// set is the last one that was made, and changed has the ids of the upstreams
	// that came, changed or went since.
	set     *Set
	changed map[string]bool
}

// tombstone is what is remembered of a removed upstream.
type tombstone struct {
	at time.Time
	lastRun
}

// lateEntry is an entry that is ignored until a time.
type lateEntry struct {
	registration Registration
	until        time.Time
}

// lastRun is what is known of an upstream's last run.
type lastRun struct {
	run       Run
	coldUntil time.Time
	// draining is set if it drained last.
	draining bool
	// past are the runs before it.
	past pastRuns
}

// pastRuns are the last runs of an upstream before the one that is known, the
// latest first.
type pastRuns [maxPastRuns]Run

func (p pastRuns) contains(r Run) bool { return slices.Contains(p[:], r) }

// without returns the runs but one.
func (p pastRuns) without(r Run) pastRuns {
	for i := range p {
		if p[i] == r {
			p[i] = ""
		}
	}
	return p
}

// with returns the runs with one more before the others.
func (p pastRuns) with(r Run) pastRuns {
	copy(p[1:], p[:])
	p[0] = r
	return p
}

// NewRegistry makes an empty registry. warmUp returns how long an upstream of a
// service is cold after its start.
func NewRegistry(warmUp func(service string) time.Duration) *Registry {
	return &Registry{
		upstreams: map[string]*Upstream{}, evacuated: map[string]bool{}, removed: map[string]tombstone{}, warmUp: warmUp,
		leaving: map[Run]time.Time{}, late: map[string]lateEntry{}, set: &Set{}, changed: map[string]bool{},
	}
}

// MarkSynced marks the end of the first full reading of the store: an upstream that
// appears from now on has just started.
func (r *Registry) MarkSynced() { r.synced = true }

// Put adds or updates an upstream. An entry that an earlier run of its process may
// have written late changes nothing until ApplyLate; Put then returns false.
func (r *Registry) Put(in Registration, now time.Time) bool {
	if r.lastRun(in.ID).past.contains(in.Run()) {
		r.late[in.ID] = lateEntry{in, now.Add(LateGrace)}
		return false
	}
	r.put(in, now)
	return true
}

// PutReverted is Put of an entry of a store that came back from an older copy. A run that
// was draining still drains. An entry of an earlier run, or of an upstream that was removed
// since, changes nothing until ApplyLate: the upstream may have left for good, and its
// address be another's.
func (r *Registry) PutReverted(in Registration, now time.Time) bool {
	last := r.lastRun(in.ID)
	in.Draining = in.Draining || last.run == in.Run() && last.draining
	_, removed := r.removed[in.ID]
	if removed || last.past.contains(in.Run()) {
		r.late[in.ID] = lateEntry{in, now.Add(RestoreGrace)}
		return false
	}
	r.put(in, now)
	return true
}

// ApplyLate uses the entries that were put off for long enough, and returns them.
func (r *Registry) ApplyLate(now time.Time) []Registration {
	var applied []Registration
	for _, e := range r.late {
		if !now.Before(e.until) {
			r.put(e.registration, now)
			applied = append(applied, e.registration)
		}
	}
	return applied
}

func (r *Registry) put(in Registration, now time.Time) {
	run, last := in.Run(), r.lastRun(in.ID)
	if last.run == "" && in.Born == 0 {
		// It was away for long, or is new: a process that does not say when it started
		// may have started again.
		delete(r.leaving, run)
	}
	in.Draining = in.Draining || r.Leaves(run)
	past := last.past.without(run)
	if last.run != "" && last.run != run {
		past = past.with(last.run)
	}
	r.upstreams[in.ID] = &Upstream{Registration: in, run: run, seed: xxhash.Sum64String(in.ID), past: past, ColdUntil: r.coldUntil(in, last, now)}
	r.changed[in.ID] = true
	delete(r.removed, in.ID)
	delete(r.late, in.ID)
}

// MarkLeaving has a run drain for good, whatever its entry says now or later: an upstream
// that can't reach the store says it in its responses only.
func (r *Registry) MarkLeaving(run Run, now time.Time) {
	maps.DeleteFunc(r.leaving, func(_ Run, since time.Time) bool { return now.Sub(since) >= leavingKept })
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

// Leaves reports whether a run said in a response that it leaves.
func (r *Registry) Leaves(run Run) bool {
	_, ok := r.leaving[run]
	return ok
}

// Drains reports whether an upstream is known to take no new work.
func (r *Registry) Drains(id string) bool { return r.lastRun(id).draining }

// lastRun returns what is known of an upstream's last run, which may have been
// removed lately; the zero value if there is none.
func (r *Registry) lastRun(id string) lastRun {
	if u := r.upstreams[id]; u != nil {
		return u.lastRun()
	}
	return r.removed[id].lastRun
}

// coldUntil decides until when an upstream that registered is cold. A run that
// is known, or was until lately, stays as cold as it was. One that is new while
// the host runs has just started, and is cold for its service's warm-up. Each
// is cold for as long as it reports itself, if that is longer.
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

// Remove removes an upstream whose entry is gone from the store, unless the
// entry may have lapsed because the upstream could not reach the store: then
// the upstream stays until Expire, and Remove returns true. storeReturned is
// when the store last came back after an outage; zero is never.
func (r *Registry) Remove(id string, now, storeReturned time.Time) (stays bool) {
	delete(r.late, id)
	u := r.upstreams[id]
	if u == nil {
		return false
	}
	if storeReturned.IsZero() {
		r.remove(u, now)
		return false
	}
	return r.keepUntil(u, storeReturned.Add(LapseGrace), now)
}

// RemoveReverted removes an upstream that has no entry in a store that came back from an
// older copy: one that had registered since stays until Expire, and RemoveReverted returns
// true.
func (r *Registry) RemoveReverted(id string, now time.Time) (stays bool) {
	delete(r.late, id)
	u := r.upstreams[id]
	if u == nil {
		return false
	}
	return r.keepUntil(u, now.Add(RestoreGrace), now)
}

// StoreRestored gives all that waits for entries to be written again the time for that anew:
// the store came back from an older copy once more.
func (r *Registry) StoreRestored(now time.Time) {
	for _, u := range r.upstreams {
		if !u.expiresAt.IsZero() {
			r.keepUntil(u, now.Add(RestoreGrace), now)
		}
	}
	for id, e := range r.late {
		r.late[id] = lateEntry{e.registration, now.Add(RestoreGrace)}
	}
}

// keepUntil keeps an upstream without an entry until a time, unless that has passed or the
// upstream had announced its end by draining: then it is removed.
func (r *Registry) keepUntil(u *Upstream, until, now time.Time) (stays bool) {
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

func (r *Registry) remove(u *Upstream, now time.Time) {
	delete(r.upstreams, u.ID)
	r.changed[u.ID] = true
	maps.DeleteFunc(r.removed, func(_ string, past tombstone) bool { return now.Sub(past.at) >= rememberFor })
	r.removed[u.ID] = tombstone{at: now, lastRun: u.lastRun()}
}

// Discard removes an upstream whose entry can't be read any more: what stands
// there names no upstream to use. Once the entry is readable again the upstream
// is the same one, unless its run is another. It reports whether it was known.
func (r *Registry) Discard(id string, now time.Time) bool {
	delete(r.late, id)
	u := r.upstreams[id]
	if u == nil {
		return false
	}
	r.remove(u, now)
	return true
}

// Expire removes the upstreams whose entries lapsed and did not come back in
// time, and returns them.
func (r *Registry) Expire(now time.Time) []Registration {
	var gone []Registration
	for _, u := range r.upstreams {
		if !u.expiresAt.IsZero() && !now.Before(u.expiresAt) {
			gone = append(gone, u.Registration)
			r.remove(u, now)
		}
	}
	return gone
}

// Evacuate sets the zones whose upstreams receive nothing. The upstreams of a
// zone that is taken back are cold.
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

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
