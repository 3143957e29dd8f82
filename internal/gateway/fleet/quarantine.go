package fleet

import (
	"context"
	"time"

	"cairndock/internal/pause"
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
	// quarantines. A read of the list that gets no response takes 2 s, and the next one
	// then has time to succeed. It is below the 4 s after a start in which the platform
	// expects nothing of a host.
	quarantineTimeout = 3 * time.Second
	// suspectedTimeout is how long a host that serves without the quarantines refuses each
	// suspected request. It is bounded, because an innocent request that many clients send
	// is suspected, too, and the store may be down for a long time.
	suspectedTimeout = 30 * time.Second
	// quarantineReadInterval is the pause before each read of a list only for its
	// quarantines. No such read is made by a host that reads its list at once.
	quarantineReadInterval = time.Second
)

// readQuarantines reads the lists of all regions in turn, until this host has learned of
// quarantines. keepRegistered reads the lists as well, but between two attempts it waits for
// writes, and it reads the list of the own region first, which may be the one that cannot
// be read.
func (f *Fleet) readQuarantines(ctx context.Context) {
	regions := f.regions()
	for n := 0; pause.For(ctx, quarantineReadInterval) && !f.quarantinesLearned.Load(); n++ {
		region := regions[n%len(regions)]
		if list, err := f.options.Registry.Read(ctx, region); err == nil {
			f.mergeStored(ctx, region, list.Quarantines)
		}
	}
}

// KnowsQuarantines reports whether this host has learned which requests are quarantined,
// from the registry or from a host that serves, or has waited for quarantineTimeout. It
// is called once the host has all other data that it needs to serve. The wait begins
// with the first call, so that a store that was unavailable at the host's start has time
// to return the list.
func (f *Fleet) KnowsQuarantines() bool {
	if f.quarantinesLearned.Load() {
		return true
	}
	waited := f.waitedForQuarantines()
	if waited < quarantineTimeout {
		return false
	}
	if f.quarantineWaitEnded.CompareAndSwap(false, true) {
		f.options.Report.QuarantinesUnread(waited)
	}
	return true
}

// RefusesSuspected reports whether this host must refuse each request under which an
// upstream terminated, because the request may be quarantined and the host has not
// learned of quarantines yet.
func (f *Fleet) RefusesSuspected() bool {
	if f.quarantinesLearned.Load() {
		return false
	}
	start := f.quarantineWaitStart.Load()
	return start == nil || time.Since(*start) < suspectedTimeout
}

// QuarantinesLearned reports whether this host has learned which requests are quarantined.
func (f *Fleet) QuarantinesLearned() bool { return f.quarantinesLearned.Load() }

// waitedForQuarantines returns the time since its first call.
func (f *Fleet) waitedForQuarantines() time.Duration {
	now := time.Now()
	f.quarantineWaitStart.CompareAndSwap(nil, &now)
	return now.Sub(*f.quarantineWaitStart.Load())
}

// recordQuarantinesLearned records that this host has learned of quarantines from a region's
// list or from a host.
func (f *Fleet) recordQuarantinesLearned(source string) {
	if f.quarantinesLearned.CompareAndSwap(false, true) {
		f.options.Report.QuarantinesLearned(source)
	}
}

// mergeStored adds the quarantines that were read from the registry, and removes those
// that are no longer valid.
func (f *Fleet) mergeStored(ctx context.Context, region string, stored []StoredQuarantine) {
	now := time.Now()
	var current, expired []poison.Report
	for _, q := range stored {
		if r := q.aged(now); r.Current() {
			current = append(current, r)
		} else {
			expired = append(expired, r)
		}
	}
	if f.options.Suspicions != nil {
		f.options.Suspicions.Merge(current, now) // at once, because each change decides on all suspects
		for _, r := range current {
			f.recordStored(region, r, now)
		}
	}
	f.recordQuarantinesLearned(region)
	for _, r := range expired {
		_ = f.options.Registry.Release(ctx, region, r.Fingerprint) // the next host that reads the list retries
	}
}
