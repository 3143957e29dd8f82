package watch

import (
	"math"
	"sync"
	"time"
)

const (
	// tombstoneRetention is how long a replica keeps the tombstone of a deleted row,
	// so that hosts which poll it learn of the deletion: far above any bound
	// on staleness.
	tombstoneRetention = time.Minute
	// minStoreOutage is the time without a confirmation after which the store
	// counts as having been away. Its entries lapse after three missed
	// heartbeats of 1 to 1.5 s (the platform's heartbeat_interval_ms), so a
	// shorter absence removes none.
	minStoreOutage = 2500 * time.Millisecond
	// ageUnconfirmed is the age of a replica that the store has not confirmed yet.
	ageUnconfirmed = time.Duration(math.MaxInt64)
)

// Replica is a table as far as this host knows it, and a source for other
// hosts. Its methods may be used concurrently.
type Replica struct {
	mu sync.Mutex
	// rows has the rows and the tombstones by key.
	rows map[string]Row
	// deletedAt is when each tombstone was put.
	deletedAt map[string]time.Time
	// version is the table's version that the replica is as of.
	version Version
	// lastChange is the version of the last change that a source has sent. A
	// deletion that only a listing showed does not count.
	lastChange Version
	// historyFrom is the version since which all changes are in rows.
	historyFrom int64
	// synced is set once the table has been listed.
	synced bool
	// confirmedAt is when the store last confirmed the replica.
	confirmedAt time.Time
	// returnedAt is when it last did so after minStoreOutage without one.
	returnedAt time.Time
	// changed is closed at the next change.
	changed chan struct{}
	// confirmed is closed at the store's next confirmation.
	confirmed chan struct{}
}

// NewReplica returns a replica that has not been listed.
func NewReplica() *Replica {
	return &Replica{
		rows: map[string]Row{}, deletedAt: map[string]time.Time{},
		changed: make(chan struct{}), confirmed: make(chan struct{}),
	}
}

// Version returns the table's version that the replica is as of.
func (r *Replica) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// LastChange returns the version of the last change in the replica.
func (r *Replica) LastChange() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastChange
}

// storeReturned returns when the store was last reached after it had been away;
// zero if it never was.
func (r *Replica) storeReturned() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.returnedAt
}

// isSynced reports whether the table has been listed.
func (r *Replica) isSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Age returns how long ago the store last confirmed the replica.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age(time.Now())
}

func (r *Replica) age(now time.Time) time.Duration {
	if r.confirmedAt.IsZero() {
		return ageUnconfirmed
	}
	return max(0, now.Sub(r.confirmedAt))
}

// Suspended has the replica be older by the time for which the machine was suspended.
func (r *Replica) Suspended(gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.confirmedAt.IsZero() {
		r.confirmedAt = r.confirmedAt.Add(-gap)
	}
}

// replace applies a listing and returns what it changes; known rows that are not
// in it become tombstones. A listing older than the replica is not applied.
func (r *Replica) replace(p Page, now time.Time) (u Update, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version.Newer(p.Version) {
		return Update{}, false
	}
	if r.synced && p.Era > r.version.Era {
		return r.restore(p, now), true
	}
	r.lastChange.Era = p.Era
	changes := r.putAll(p.Rows, now)
	listed := make(map[string]bool, len(p.Rows))
	for _, row := range p.Rows {
		listed[row.Key] = true
	}
	for key, row := range r.rows {
		if row.Deleted || listed[key] {
			continue
		}
		tombstone := Row{Key: key, Version: p.Version.Number, Deleted: true}
		r.put(tombstone, now)
		changes = append(changes, tombstone)
	}
	if !r.synced {
		r.historyFrom, r.synced = p.Version.Number, true
	}
	r.advance(p, len(changes) > 0, now)
	return Update{Rows: changes, Full: true, StoreReturned: r.returnedAt}, true
}

// apply applies changes and returns those that are new. Changes of another era
// than the replica's are not applied.
func (r *Replica) apply(p Page, now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Era != r.version.Era {
		return nil
	}
	changes := r.putAll(p.Rows, now)
	r.advance(p, len(changes) > 0, now)
	return changes
}

// putAll puts rows of the replica's era and returns those that are new; r.mu is held.
func (r *Replica) putAll(rows []Row, now time.Time) []Row {
	var changes []Row
	for _, row := range rows {
		if r.put(row, now) {
			r.recordChange(row)
			changes = append(changes, row)
		}
	}
	return changes
}

// put stores a row or tombstone unless it is known in the same or a newer
// version; r.mu is held. A tombstone of a row that was never known is dropped.
func (r *Replica) put(row Row, now time.Time) bool {
	old, known := r.rows[row.Key]
	if known && row.Version <= old.Version {
		return false
	}
	if !known && row.Deleted {
		return false
	}
	r.rows[row.Key] = row.compressed()
	delete(r.deletedAt, row.Key)
	if row.Deleted {
		r.deletedAt[row.Key] = now
	}
	return true
}

// advance records the version and age of a page that was applied; r.mu is
// held. A page of a source that lags confirms nothing.
func (r *Replica) advance(p Page, hasChanges bool, now time.Time) {
	if !r.version.Newer(p.Version) {
		r.version = p.Version
		r.confirm(now.Add(-p.Age), now)
	}
	r.dropTombstones(now)
	if hasChanges {
		r.notifyChanged()
	}
}

// recordChange records a change that a source has sent; r.mu is held.
func (r *Replica) recordChange(row Row) {
	r.lastChange.Number = max(r.lastChange.Number, row.Version)
}

// notifyChanged wakes those who wait for a change; r.mu is held.
func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// confirm records that the store confirmed the replica at a time; r.mu is held.
func (r *Replica) confirm(at, now time.Time) {
	if !at.After(r.confirmedAt) {
		return
	}
	if !r.confirmedAt.IsZero() && at.Sub(r.confirmedAt) >= minStoreOutage {
		r.returnedAt = now
	}
	r.confirmedAt = at
	close(r.confirmed)
	r.confirmed = make(chan struct{})
}

// dropTombstones removes the tombstones older than tombstoneRetention; r.mu is held.
// Changes since a version before theirs can then no longer be served.
func (r *Replica) dropTombstones(now time.Time) {
	for key, at := range r.deletedAt {
		if now.Sub(at) < tombstoneRetention {
			continue
		}
		r.historyFrom = max(r.historyFrom, r.rows[key].Version)
		delete(r.rows, key)
		delete(r.deletedAt, key)
	}
}
