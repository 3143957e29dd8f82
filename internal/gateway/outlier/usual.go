package outlier

import (
	"slices"
	"time"
)

const (
	// usualSize is how many answers tell what is usual for a service, and
	// usualMin how many it takes at least.
	usualSize = 64
	usualMin  = 32
	// patienceFactor is how many times the usual an answer may take. On an
	// object that it has not seen lately an upstream takes three to four
	// times as long.
	patienceFactor = 4
	// minPatience is the least that an answer may take.
	minPatience = 250 * time.Millisecond
)

// usual follows how long the answers of one service take: the median of the
// last ones.
type usual struct {
	took   [usualSize]time.Duration
	count  int
	median time.Duration
}

func (u *usual) add(took time.Duration) {
	u.took[u.count%usualSize] = took
	u.count++
	if u.count >= usualMin && u.count%(usualMin/4) == 0 {
		known := u.took[:min(u.count, usualSize)]
		sorted := slices.Sorted(slices.Values(known))
		u.median = sorted[len(sorted)/2]
	}
}

// patience is how long an answer may take at an upstream with a load.
func (u *usual) patience(load float64) time.Duration {
	if u.median == 0 {
		return 0
	}
	return max(minPatience, time.Duration(patienceFactor*max(1, load)*float64(u.median)))
}
