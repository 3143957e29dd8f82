package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/pause"
)

// A store that is restored from an older copy has lost the data that hosts wrote after
// the copy was made, and no other process writes this data again. Starting hosts would
// not find this host, and would take larger shares of limits than they should. A restored
// store may also contain rows of hosts that withdrew and of quarantines that were released.
// These rows make shares smaller, and are valid no longer than rows that remain after a
// failed withdrawal or release.

const (
	// notAnnounced is the value of announcedEra before the first announcement.
	notAnnounced = -1
	// maxRewriteDelay bounds the random delay after which a host writes its data again
	// once it has found that the store was restored. 256 hosts of a region write 85 rows per
	// second, of the 300 that the store accepts for a partition.
	maxRewriteDelay = 3 * time.Second
	// rewriteRetryDelay is the pause before the next attempt.
	rewriteRetryDelay = 2 * time.Second
)

// announce announces this host and reports whether that succeeded. An error is not
// logged, because the registry is in the store, whose failures the watchers of the
// tables log.
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

// storeEra returns the latest era of the store in which a table was read.
func (f *Fleet) storeEra() int64 {
	era := int64(0)
	for _, t := range f.options.Tables {
		era = max(era, t.Replica.Version().Era)
	}
	return era
}

// rewriteLost writes this host's data again if the store is in a later era than the
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

// rewrite announces this host, and makes it store the quarantines again for which it is
// responsible.
func (f *Fleet) rewrite(ctx context.Context) {
	if !pause.For(ctx, rand.N(maxRewriteDelay)) {
		return
	}
	for !f.isWithdrawn() && !f.announce(ctx) {
		if !pause.For(ctx, rewriteRetryDelay) {
			return
		}
	}
	f.forgetStored()
}
