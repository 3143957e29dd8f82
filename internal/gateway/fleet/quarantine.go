package fleet

import (
	"context"
	"time"

	"cairndock/internal/poison"
)

// Quarantines are also stored in the registry, so that they survive when all hosts stop
// at the same time. They are stored with the hosts of every region, because a starting
// host reads the list of its own region first and those of other regions up to a second
// after it starts to serve. Reading them thus takes no additional call. Which hosts store
// them is decided in quarantinestore.go. Running hosts
// learn of quarantines from heartbeats. A starting host serves only once it has learned
// of them from either source, because the quarantined requests keep coming during its
// start.

// StoredQuarantine is a quarantined request in the registry (JSON).
type StoredQuarantine struct {
	Report poison.Report `json:"report"`
	// StoredAt is the wall-clock time at which the report was made, in Unix
	// milliseconds. The clocks of hosts may differ by seconds, which matters little for
	// a report that is valid for an hour.
	StoredAt int64 `json:"stored_at"`
}

// aged returns the report as of now, according to this host's wall clock.
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
	// quarantineTimeout is how long a host that has all other data waits for
	// quarantines. It is longer than reading a list takes, and adds little to the time
	// for which a host is missing while no list can be read and no other host runs.
	quarantineTimeout = time.Second
)

// KnowsQuarantines reports whether this host has learned which requests are quarantined,
// from the registry or from a host that serves, or has waited for quarantineTimeout. It
// is called once the host has all other data that it needs to serve. The wait begins
// with the first call, so that a store that was unavailable at the host's start has time
// to return the list.
func (f *Fleet) KnowsQuarantines() bool {
	if f.quarantinesLearned.Load() {
		return true
	}
	now := time.Now()
	f.quarantineWaitStart.CompareAndSwap(nil, &now)
	return now.Sub(*f.quarantineWaitStart.Load()) >= quarantineTimeout
}

// mergeStored adds the quarantines that were read from the registry, and removes those
// that are no longer valid.
func (f *Fleet) mergeStored(ctx context.Context, region string, stored []StoredQuarantine) {
	defer f.quarantinesLearned.Store(true)
	if f.options.Suspicions == nil {
		return
	}
	now := time.Now()
	for _, q := range stored {
		r := q.aged(now)
		if !r.Current() {
			_ = f.options.Registry.Release(ctx, region, r.Fingerprint) // the next host that reads the list retries
			continue
		}
		f.options.Suspicions.Merge([]poison.Report{r}, now)
		f.recordStored(region, r, now)
	}
}
