package watch

import (
	"context"
	"maps"
	"slices"
	"time"
)

// List returns all rows. The error is ErrHistoryGone until the table has been listed,
// because an empty page would mean a table without rows.
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

// Chunk returns the rows whose keys come after from, in the order of their keys, until their
// keys and values exceed a size in bytes. more is set if there are further rows. The error is
// ErrHistoryGone until the table has been listed.
func (r *Replica) Chunk(from string, size int) (page Page, more bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced {
		return Page{}, false, ErrHistoryGone
	}
	if r.sortedKeys == nil {
		r.sortedKeys = slices.Sorted(maps.Keys(r.rows))
	}
	page = r.page()
	first, found := slices.BinarySearch(r.sortedKeys, from)
	if found {
		first++
	}
	for _, key := range r.sortedKeys[first:] {
		row := r.rows[key]
		if row.Deleted {
			continue
		}
		if size <= 0 {
			return page, true, nil
		}
		size -= len(row.Key) + len(row.Value)
		page.Rows = append(page.Rows, row)
	}
	return page, false, nil
}

func (r *Replica) page() Page { return Page{Version: r.version, Age: r.age(time.Now())} }

// Changes returns the rows that changed after a version. If there are none, it waits for
// a change for at most the given time.
func (r *Replica) Changes(ctx context.Context, after Version, wait time.Duration) (Page, error) {
	return r.await(ctx, after, wait, nil)
}

// ChangesWithin is Changes for polls by other hosts. It also returns when the store
// confirms the replica, so that ages do not add up over a chain of relays, and when the
// replica's age reaches maxAge, so that the other host can poll a better source.
func (r *Replica) ChangesWithin(ctx context.Context, after Version, wait, maxAge time.Duration) (Page, error) {
	r.mu.Lock()
	confirmed := r.confirmed
	// One millisecond more makes the age in the response exceed maxAge.
	left := maxAge - r.age(time.Now()) + time.Millisecond
	r.mu.Unlock()
	return r.await(ctx, after, max(0, min(wait, left)), confirmed)
}

// await returns the changes after a version as soon as there are any. It returns an
// empty page when wake is closed, when the wait is over, or at once if the version is of
// a later era than the replica's.
func (r *Replica) await(ctx context.Context, after Version, wait time.Duration, wake <-chan struct{}) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := r.since(after)
		if err != nil || len(page.Rows) > 0 || after.Era > page.Era {
			return page, err
		}
		select {
		case <-changed:
			continue
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
		page, _, err = r.since(after)
		return page, err
	}
}

// since returns the rows that changed after a version, and a channel that is closed at
// the next change. It returns no rows for a version of a later era than the replica's,
// and ErrHistoryGone for a version of an earlier one, whose changes may have been
// reverted. A version without an era is compared by its number alone.
func (r *Replica) since(after Version) (Page, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced {
		return Page{}, nil, ErrHistoryGone
	}
	page := r.page()
	if after.Era > r.version.Era {
		return page, r.changed, nil
	}
	if after.Number < r.historyFrom || after.Era != 0 && after.Era < r.version.Era {
		return page, nil, ErrHistoryGone
	}
	for _, row := range r.rows {
		if row.Version > after.Number {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, r.changed, nil
}
