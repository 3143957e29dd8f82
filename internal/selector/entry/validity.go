package entry

import (
	"context"
)

// validated reports whether the host may send new work to upstreams. A host
// that was paused, or that nobody answered for a while, may have lost its
// slots to others since, and must ask first.
func (h *Host) validated() bool {
	return h.now()-h.validatedAt.Load() < int64(maxPause)
}

// heard notes that somebody answered.
func (h *Host) heard() { h.contactAt.Store(h.now()) }

// keepValidated keeps the host validated from turn to turn, or has it ask for
// the roster when it may have lost its slots.
func (h *Host) keepValidated(ctx context.Context) {
	isolated := h.now()-h.contactAt.Load() > int64(maxIsolation)
	if h.validated() && !isolated {
		h.validatedAt.Store(h.now())
		return
	}
	// Not a moment longer: what is admitted now may run for its deadline,
	// and its slots may be given away after member.LostAfter and as long.
	h.validatedAt.Store(0)
	if !h.revalidating.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.revalidating.Store(false)
		if h.revalidate(ctx) {
			h.heard()
			h.validatedAt.Store(h.now())
		}
	}()
}

// Distrust makes the host ask for its zone's roster before it sends anything
// more, as it does when its own loop shows that it was paused.
func (h *Host) Distrust() { h.validatedAt.Store(0) }
