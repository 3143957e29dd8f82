package outlier

import (
	"slices"
	"time"
)

const (
	// usualSize is how many answers tell what is usual for a service, and
	// usualMin how many it takes at least.
	baselineSize = 64
	baselineMin  = 32
	// patienceFactor is how many times the usual an answer may take. On an
	// object that it has not seen lately an upstream takes three to four
	// times as long.
	overdueFactor = 4
	// minPatience is the least that an answer may take.
	minOverdueAfter = 250 * time.Millisecond
)

// usual follows how long the answers of one service take: the median of the
// last ones.
type latencyBaseline struct {
	took   [baselineSize]time.Duration
	count  int
	median time.Duration
}

func (u *latencyBaseline) add(took time.Duration) {
	u.took[u.count%baselineSize] = took
	u.count++
	if u.count >= baselineMin && u.count%(baselineMin/4) == 0 {
		known := u.took[:min(u.count, baselineSize)]
		sorted := slices.Sorted(slices.Values(known))
		u.median = sorted[len(sorted)/2]
	}
}

// patience is how long an answer may take at an upstream with a load.
func (u *latencyBaseline) overdueAfter(load float64) time.Duration {
	if u.median == 0 {
		return 0
	}
	return max(minOverdueAfter, time.Duration(overdueFactor*max(1, load)*float64(u.median)))
}
