package watch

import (
	"context"
	"math"
	"sync"
	"time"
)

// tombstoneFor is how long a replica remembers that a row is gone.
const tombstoneFor = time.Minute

// AwayAfter is the silence after which a store counts as having been away.
// Entries lapse after three heartbeats of 1 to 1.5 s without a write.
const StoreAwayAfter = 2500 * time.Millisecond

// Never is the age of what was never heard.
const Never = time.Duration(math.MaxInt64)

// Replica is a table as far as it is known here. It is a source for others.
type Replica struct {
	mu        sync.Mutex
	rows      map[string]Row
	deletedAt map[string]time.Time
	version   int64
	// changedAt is the version of the last change that a source told; a
	// removal that only a whole reading showed is not among them.
	changedAt int64
	// floor is the version from which on all changes are known.
	floor  int64
	synced bool
	// freshAt is when the store last said that the replica is up to date.
	freshAt time.Time
	// returnedAt is when it last said so after AwayAfter without a word.
	returnedAt time.Time
	// changed is closed at the next change, and confirmed when the store
	// next says that the replica is up to date.
	changed   chan struct{}
	confirmed chan struct{}
}

// NewReplica makes an empty replica.
func NewReplica() *Replica {
	return &Replica{rows: map[string]Row{}, deletedAt: map[string]time.Time{}, changed: make(chan struct{}), confirmed: make(chan struct{})}
}

// Version is the version that the replica is as of.
func (r *Replica) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// LastChange is the version of the last change that the replica knows.
func (r *Replica) LastChange() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedAt
}

// Returned is when the store was last in reach again after it had been away;
// zero is never.
func (r *Replica) StoreReturned() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.returnedAt
}

// Age is how long ago the store last said that the replica is up to date.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age(time.Now())
}

func (r *Replica) age(now time.Time) time.Duration {
	if r.freshAt.IsZero() {
		return Never
	}
	return max(0, now.Sub(r.freshAt))
}

// replace takes over a whole reading and gives what it changes; what is
// missing from it is gone. A reading older than the replica is not taken.
func (r *Replica) replace(p Page, now time.Time) ([]Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Version < r.version {
		return nil, false
	}
	listed := make(map[string]bool, len(p.Rows))
	var changes []Row
	for _, row := range p.Rows {
		listed[row.Key] = true
		if r.put(row, now) {
			r.changedAt = max(r.changedAt, row.Version)
			changes = append(changes, row)
		}
	}
	for key, row := range r.rows {
		if row.Deleted || listed[key] {
			continue
		}
		gone := Row{Key: key, Version: p.Version, Deleted: true}
		r.put(gone, now)
		changes = append(changes, gone)
	}
	if !r.synced {
		r.floor, r.synced = p.Version, true
	}
	r.advance(p, len(changes) > 0, now)
	return changes, true
}

// apply takes over changes and gives those that are news.
func (r *Replica) apply(p Page, now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Row
	for _, row := range p.Rows {
		if r.put(row, now) {
			r.changedAt = max(r.changedAt, row.Version)
			changes = append(changes, row)
		}
	}
	r.advance(p, len(changes) > 0, now)
	return changes
}

// put takes over one row unless a newer one is known; r.mu is held.
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

// advance notes how far the replica is and how fresh; r.mu is held. A page
// of a source that is behind proves nothing about now.
func (r *Replica) advance(p Page, changed bool, now time.Time) {
	if p.Version >= r.version {
		r.version = p.Version
		if at := now.Add(-p.Age); at.After(r.freshAt) {
			if !r.freshAt.IsZero() && at.Sub(r.freshAt) >= StoreAwayAfter {
				r.returnedAt = now
			}
			r.freshAt = at
			close(r.confirmed)
			r.confirmed = make(chan struct{})
		}
	}
	r.prune(now)
	if changed {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

func (r *Replica) prune(now time.Time) {
	for key, at := range r.deletedAt {
		if now.Sub(at) < tombstoneFor {
			continue
		}
		r.floor = max(r.floor, r.rows[key].Version)
		delete(r.rows, key)
		delete(r.deletedAt, key)
	}
}

// List gives all rows.
func (r *Replica) List(context.Context) (Page, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced {
		return Page{}, ErrHistoryGone
	}
	page := r.page()
	for _, row := range r.rows {
		if !row.Deleted {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

func (r *Replica) page() Page { return Page{Version: r.version, Age: r.age(time.Now())} }

// Changes waits for changes after a version.
func (r *Replica) Changes(ctx context.Context, after int64, wait time.Duration) (Page, error) {
	return r.await(ctx, after, wait, nil)
}

// ChangesWithin is Changes for another host. It answers as well when the store
// confirms the replica, so that a host that asks by way of others is hardly
// older than they are, and at once when the replica has grown old, so that it
// can look for a better source.
func (r *Replica) ChangesWithin(ctx context.Context, after int64, wait, maxAge time.Duration) (Page, error) {
	r.mu.Lock()
	confirmed := r.confirmed
	left := maxAge - r.age(time.Now()) + time.Millisecond
	r.mu.Unlock()
	return r.await(ctx, after, max(0, min(wait, left)), confirmed)
}

// await waits for changes after a version, or for a sign, or for a time.
func (r *Replica) await(ctx context.Context, after int64, wait time.Duration, sign <-chan struct{}) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := r.since(after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
			continue
		case <-sign:
		case <-timer.C:
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
		page, _, err = r.since(after)
		return page, err
	}
}

func (r *Replica) since(after int64) (Page, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced || after < r.floor {
		return Page{}, nil, ErrHistoryGone
	}
	page := r.page()
	for _, row := range r.rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, r.changed, nil
}
