package watch

import (
	"math"
	"sync"
	"time"
)

const (
	// tombstoneRetention is how long a replica keeps the tombstone of a deleted row, so
	// that hosts which poll the replica learn of the deletion. It is far above any
	// staleness bound.
	tombstoneRetention = time.Minute
	// minStoreOutage is the time without a confirmation after which the store is
	// considered to have been unavailable. The store's entries expire after three missed
	// heartbeats of 1 to 1.5 s (the platform's heartbeat_interval_ms), so a shorter
	// outage expires none.
	minStoreOutage = 2500 * time.Millisecond
	// ageUnconfirmed is the age of a replica that the store has not confirmed yet.
	ageUnconfirmed = time.Duration(math.MaxInt64)
)

// Replica is this host's copy of a table, and a source for other hosts. Its methods are
// safe for concurrent use.
type Replica struct {
	mu sync.Mutex
	// rows holds the rows and the tombstones by key.
	rows map[string]Row
	// sortedKeys has the keys of rows in order; nil after a key was added or removed.
	sortedKeys []string
	// deletedAt is when each tombstone was stored.
	deletedAt map[string]time.Time
	// version is the version of the table that the replica reflects.
	version Version
	// lastChange is the version of the last change that a source has sent. Deletions
	// that were only inferred from a listing are not included.
	lastChange Version
	// historyFrom is the version since which rows contains all changes.
	historyFrom int64
	// synced is set once the table has been listed.
	synced bool
	// confirmedAt is when the store last confirmed the replica.
	confirmedAt time.Time
	// returnedAt is when the store last confirmed the replica after at least
	// minStoreOutage without a confirmation.
	returnedAt time.Time
	// changed is closed at the next change.
	changed chan struct{}
	// confirmed is closed at the store's next confirmation and by EndWaits.
	confirmed chan struct{}
}

// NewReplica returns a replica of a table that has not been listed yet.
func NewReplica() *Replica {
	return &Replica{
		rows: map[string]Row{}, deletedAt: map[string]time.Time{},
		changed: make(chan struct{}), confirmed: make(chan struct{}),
	}
}

// Version returns the version of the table that the replica reflects.
func (r *Replica) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// LastChange returns the version of the last change that a source has sent.
func (r *Replica) LastChange() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastChange
}

// storeReturned returns when the store was last reached after an outage; zero if there
// was none.
func (r *Replica) storeReturned() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.returnedAt
}

func (r *Replica) isSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Age returns the time since the store last confirmed the replica.
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

// Suspended adds the time for which the machine was suspended to the replica's age.
func (r *Replica) Suspended(gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.confirmedAt.IsZero() {
		r.confirmedAt = r.confirmedAt.Add(-gap)
	}
}

// replace applies a listing and returns the changes. Rows of the replica that the
// listing lacks become tombstones. A listing older than the replica is not applied, and
// ok is false.
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

// apply applies changes and returns those that are new. Changes of an era other than the
// replica's are not applied.
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

// putAll stores rows of the replica's era and returns those that are new; r.mu is held.
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

// put stores a row or tombstone unless the replica has the same or a newer version of
// the row; r.mu is held. The tombstone of an unknown row is dropped.
func (r *Replica) put(row Row, now time.Time) bool {
	old, known := r.rows[row.Key]
	if known && row.Version <= old.Version {
		return false
	}
	if !known && row.Deleted {
		return false
	}
	if !known {
		r.sortedKeys = nil
	}
	r.rows[row.Key] = row.compressed()
	delete(r.deletedAt, row.Key)
	if row.Deleted {
		r.deletedAt[row.Key] = now
	}
	return true
}

// advance sets the replica's version and age from a page that was applied; r.mu is held.
// A page older than the replica does not confirm it.
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

// recordChange updates lastChange with a change that a source has sent; r.mu is held.
func (r *Replica) recordChange(row Row) {
	r.lastChange.Number = max(r.lastChange.Number, row.Version)
}

// notifyChanged wakes the goroutines that wait for a change; r.mu is held.
func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// confirm records that the store confirmed the replica at the given time; r.mu is held.
func (r *Replica) confirm(at, now time.Time) {
	if !at.After(r.confirmedAt) {
		return
	}
	if !r.confirmedAt.IsZero() && at.Sub(r.confirmedAt) >= minStoreOutage {
		r.returnedAt = now
	}
	r.confirmedAt = at
	r.endWaits()
}

// EndWaits makes the polls by other hosts that wait for a change return now.
func (r *Replica) EndWaits() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endWaits()
}

// endWaits is EndWaits; r.mu is held.
func (r *Replica) endWaits() {
	close(r.confirmed)
	r.confirmed = make(chan struct{})
}

// dropTombstones removes the tombstones older than tombstoneRetention; r.mu is held.
// Afterwards the replica can't serve changes since versions older than the removed
// tombstones.
func (r *Replica) dropTombstones(now time.Time) {
	for key, at := range r.deletedAt {
		if now.Sub(at) < tombstoneRetention {
			continue
		}
		r.historyFrom = max(r.historyFrom, r.rows[key].Version)
		delete(r.rows, key)
		delete(r.deletedAt, key)
		r.sortedKeys = nil
	}
}
