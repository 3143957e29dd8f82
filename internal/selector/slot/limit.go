package slot

import "time"

const (
	// coldLimit is the concurrency limit, in slots, of an upstream that is new,
	// was restarted or has failed, because its caches may be cold. It is also the
	// minimum concurrency limit.
	coldLimit = 1.0
	// decreaseFactor is the factor by which a shed reduces the concurrency limit.
	// It is the usual factor of additive increase, multiplicative decrease (AIMD).
	decreaseFactor = 0.5
	// minDecreaseInterval is the minimum time between two decreases, so that all
	// sheds of one burst cause a single decrease.
	minDecreaseInterval = 100 * time.Millisecond
)

// increase returns the concurrency limit after a success, in slots. The limit grows
// by one slot for each round of successes, as in AIMD, until the host may use all
// slots that it holds.
func increase(limit float64, held int) float64 {
	if limit >= float64(held) {
		return limit
	}
	return limit + 1/limit
}

// decrease returns the concurrency limit after a shed, in slots.
func decrease(limit float64) float64 { return max(coldLimit, limit*decreaseFactor) }

// usable returns the number of slots of an upstream that may be used at the same
// time: the number of held slots, but at most the concurrency limit, rounded down.
func (u *upstream) usable() int { return min(int(u.limit), u.held) }
