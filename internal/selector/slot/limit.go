package slot

import "time"

const (
	// coldLimit is the concurrency limit, in slots, of an upstream that is new,
	// was restarted or failed: its caches may be cold.
	coldLimit = 1.0
	// decreaseFactor is what a shed multiplies the concurrency limit by:
	// the usual one of additive increase and multiplicative decrease.
	decreaseFactor = 0.5
	// decreaseInterval is the least time between two decreases: the sheds of
	// one burst count once.
	decreaseInterval = 100 * time.Millisecond
)

// increase gives the concurrency limit after a success, in slots: one slot more
// for each round of successes, until the host may use all the slots it holds.
func increase(limit float64, held int) float64 {
	if limit >= float64(held) {
		return limit
	}
	return limit + 1/limit
}

// decrease gives the concurrency limit after a shed, in slots.
func decrease(limit float64) float64 { return max(coldLimit, limit*decreaseFactor) }

// usable is how many slots of an upstream may be used at once: those held, and no
// more than the whole ones of the concurrency limit.
func (u *upstream) usable() int { return min(int(u.limit), u.held) }
