package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/pause"
)

// A store that comes back from an older copy has lost what hosts wrote there meanwhile, and
// nobody else writes it again: hosts that start would not find this one, and take larger
// parts of limits than they have. Rows that such a store has again, of hosts that withdrew
// and of quarantines that were released, make parts smaller, and count no longer than a
// withdrawal or release that failed.

const (
	// notAnnounced is the era of an announcement that was not made yet.
	notAnnounced = -1
	// maxRewriteDelay is within which time after they found a store restored hosts write
	// again, each at a moment of its own: 256 hosts of a region write 85 a second, of the
	// 300 that the store takes for a partition.
	maxRewriteDelay = 3 * time.Second
	// rewriteRetryDelay is the pause before it is tried again.
	rewriteRetryDelay = 2 * time.Second
)

// announce announces this host and reports whether that was done. An error is not logged:
// the registry is in the store, whose failures the tables' watchers log.
func (f *Fleet) announce(ctx context.Context) bool {
	era, err := f.options.Registry.Announce(ctx, f.options.Self)
	if err != nil {
		return false
	}
	if era == watch.UnknownEra {
		era = f.storeEra()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcedEra = max(f.announcedEra, era)
	return true
}

// storeEra is the latest era of the store that a table was read in.
func (f *Fleet) storeEra() int64 {
	era := int64(0)
	for _, t := range f.options.Tables {
		era = max(era, t.Replica.Version().Era)
	}
	return era
}

// rewriteLost writes again what this host stored if the store is in a later era than the
// host's announcement.
func (f *Fleet) rewriteLost(ctx context.Context) {
	era := f.storeEra()
	f.mu.Lock()
	lost := f.announcedEra != notAnnounced && f.announcedEra < era
	if lost {
		f.announcedEra = era
	}
	f.mu.Unlock()
	if lost {
		go f.rewrite(ctx)
	}
}

// rewrite announces this host and, if it is the one of its region that polls the store,
// stores the quarantines known.
func (f *Fleet) rewrite(ctx context.Context) {
	if !pause.For(ctx, rand.N(maxRewriteDelay)) {
		return
	}
	for !f.isWithdrawn() && !f.announce(ctx) {
		if !pause.For(ctx, rewriteRetryDelay) {
			return
		}
	}
	f.mu.Lock()
	_, root := f.members.relayParent(true, time.Now())
	f.mu.Unlock()
	if !root || f.options.Suspicions == nil {
		return
	}
	for _, r := range f.options.Suspicions.Quarantines(time.Now()) {
		f.storeQuarantine(ctx, r, []string{f.options.Self.Region})
	}
}
