package watch

import (
	"context"
	"time"
)

// List returns all rows. The error is ErrHistoryGone before the table has been
// listed, as an empty page would say that it has no rows.
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

// Changes returns the rows changed after a version, or waits for one.
func (r *Replica) Changes(ctx context.Context, after Version, wait time.Duration) (Page, error) {
	return r.await(ctx, after, wait, nil)
}

// ChangesWithin is Changes for another host. It also responds when the store
// confirms the replica, so that ages do not add up over a chain of relays, and
// when the replica reaches maxAge, so that the other host can poll a better
// source.
func (r *Replica) ChangesWithin(ctx context.Context, after Version, wait, maxAge time.Duration) (Page, error) {
	r.mu.Lock()
	confirmed := r.confirmed
	// One millisecond more, so that the response is past maxAge.
	left := maxAge - r.age(time.Now()) + time.Millisecond
	r.mu.Unlock()
	return r.await(ctx, after, max(0, min(wait, left)), confirmed)
}

// await returns the changes after a version as soon as there is one, or an
// empty page when wake is closed or the time is over.
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

// since returns the rows changed after a version, and a channel that is closed
// at the next change. Of a later era than its own it knows no changes, and of an
// earlier one none that are still true; a host that knows no era is served by the
// number alone.
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
