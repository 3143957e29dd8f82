package fleet

import (
	"context"
	"slices"
	"time"

	"cairndock/internal/pause"
	"cairndock/internal/poison"
)

// Quarantines are also in the registry, so that they outlast the end of all hosts at
// once. They stand beside the hosts of every region, as a starting host reads its own
// region's first, and those of others up to a second after it serves; so they cost it no
// call of its own. Hosts in operation learn of them by heartbeats. A starting host serves
// once it has heard of them, whichever way: the requests come on while it starts.

// StoredQuarantine is a quarantined request in the registry (JSON).
type StoredQuarantine struct {
	Report poison.Report `json:"report"`
	// StoredAt is the time of day at which the report was made, in Unix milliseconds.
	// Hosts' times of day may differ by seconds, which matters little for what counts
	// an hour.
	StoredAt int64 `json:"stored_at"`
}

// aged returns the report as of now, by this host's time of day.
func (q StoredQuarantine) aged(now time.Time) poison.Report {
	older := max(0, now.UnixMilli()-q.StoredAt)
	r := poison.Report{Fingerprint: q.Report.Fingerprint}
	for _, e := range q.Report.Terminations {
		e.Age += older
		r.Terminations = append(r.Terminations, e)
	}
	return r
}

const (
	// quarantineWait is how long a host that knows all else waits to hear of quarantines:
	// above what it takes to read a list, and short beside what it is missed by while no
	// list can be read and no other host runs.
	quarantineWait = time.Second
	// quarantineWrites is how often a host tries to store a quarantine. The other hosts
	// have it meanwhile.
	quarantineWrites = 5
	// quarantineRetry is the pause between two of them.
	quarantineRetry = 2 * time.Second
)

// StoreQuarantine stores a quarantine that this host decided, with each region, the own
// one first. It returns once that is done or was tried quarantineWrites times. Errors are
// dropped: the tables' watchers log that the store is away.
func (f *Fleet) StoreQuarantine(ctx context.Context, r poison.Report) {
	f.storeQuarantine(ctx, r, f.regions())
}

// storeQuarantine is StoreQuarantine with some regions.
func (f *Fleet) storeQuarantine(ctx context.Context, r poison.Report, left []string) {
	q := StoredQuarantine{Report: r, StoredAt: time.Now().UnixMilli()}
	for range quarantineWrites {
		left = slices.DeleteFunc(left, func(region string) bool {
			return f.options.Registry.Quarantine(ctx, region, q) == nil
		})
		if len(left) == 0 || !pause.For(ctx, quarantineRetry) {
			return
		}
	}
}

// RemoveQuarantine removes a quarantine that this host released. What stays after an
// error counts for an hour at most, and only for hosts that start while no other host
// runs.
func (f *Fleet) RemoveQuarantine(ctx context.Context, fingerprint poison.Fingerprint) {
	for _, region := range f.regions() {
		_ = f.options.Registry.Release(ctx, region, fingerprint)
	}
}

// KnowsQuarantines reports whether this host has heard of the requests that are quarantined,
// from the registry or from a host that serves, or has waited long enough. It is asked once
// the host knows all else that it needs to serve, and the wait begins with the first time:
// a store that was away at its start has the list by then.
func (f *Fleet) KnowsQuarantines() bool {
	if f.heardOfQuarantines.Load() {
		return true
	}
	now := time.Now()
	f.quarantinesAwaited.CompareAndSwap(nil, &now)
	return now.Sub(*f.quarantinesAwaited.Load()) >= quarantineWait
}

// mergeStored adds the quarantines that the registry has, and removes those that count
// no more.
func (f *Fleet) mergeStored(ctx context.Context, region string, stored []StoredQuarantine) {
	defer f.heardOfQuarantines.Store(true)
	if f.options.Suspicions == nil {
		return
	}
	now := time.Now()
	for _, q := range stored {
		r := q.aged(now)
		if !r.Current() {
			_ = f.options.Registry.Release(ctx, region, r.Fingerprint) // the next reader tries again
			continue
		}
		f.options.Suspicions.Merge([]poison.Report{r}, now)
	}
}
