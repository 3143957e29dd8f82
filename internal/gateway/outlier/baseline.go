package outlier

import (
	"slices"
	"time"
)

const (
	// baselineSize is how many of a service's last responses make its
	// baseline.
	baselineSize = 64
	// baselineMin is how many responses it takes before there is a baseline.
	baselineMin = 32
	// medianEvery is after how many responses the median is computed anew,
	// to keep sorting off most of them.
	medianEvery = baselineMin / 4
	// overdueFactor is how many times the median a response may take before
	// it is overdue. On an object that it has not served lately an upstream
	// takes 3.1 times as long (90 in 100 below 3.8 times), so a lower factor
	// would count first requests as failures (docs/design/platform.md).
	overdueFactor = 4
	// minOverdueAfter is the least time after which a response is overdue.
	minOverdueAfter = 250 * time.Millisecond
)

// latencyBaseline follows how long the responses of one service take: the
// median of the last ones.
type latencyBaseline struct {
	took  [baselineSize]time.Duration
	count int
	// median is zero until baselineMin responses were seen.
	median time.Duration
}

func (b *latencyBaseline) add(took time.Duration) {
	b.took[b.count%baselineSize] = took
	b.count++
	if b.count < baselineMin || b.count%medianEvery != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(b.took[:min(b.count, baselineSize)]))
	b.median = sorted[len(sorted)/2]
}

// overdueAfter returns how long a response may take at an upstream with a
// load, in its capacities: a queue of requests is not the upstream's fault. It
// is zero while there is no median.
func overdueAfter(median time.Duration, load float64) time.Duration {
	if median == 0 {
		return 0
	}
	return max(minOverdueAfter, time.Duration(overdueFactor*max(1, load)*float64(median)))
}
