package outlier

import (
	"slices"
	"time"
)

const (
	// baselineSize is the number of most recent responses that make up the
	// baseline of a service.
	baselineSize = 64
	// minBaselineSize is the number of responses that are required before a
	// baseline is available.
	minBaselineSize = 32
	// medianInterval is the number of responses after which the median is
	// recomputed, so that most responses do not pay for the sorting.
	medianInterval = minBaselineSize / 4
	// overdueFactor is the multiple of the median latency above which a
	// response is overdue. An upstream takes 3.1 times the median for an
	// object that it has not served recently (90% of these responses take less
	// than 3.8 times), so a lower factor would count first requests as
	// failures (docs/design/platform.md).
	overdueFactor = 4
	// minOverdueDelay is the minimum time after which a response is overdue.
	minOverdueDelay = 250 * time.Millisecond
)

// latencyBaseline tracks the median latency of the most recent responses of
// one service.
type latencyBaseline struct {
	samples [baselineSize]time.Duration
	count   int
	// median is zero until minBaselineSize responses have been recorded.
	median time.Duration
}

func (b *latencyBaseline) add(latency time.Duration) {
	b.samples[b.count%baselineSize] = latency
	b.count++
	if b.count < minBaselineSize || b.count%medianInterval != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(b.samples[:min(b.count, baselineSize)]))
	b.median = sorted[len(sorted)/2]
}

// overdueAfter returns the time after which a response is overdue. The time
// grows with the load of the upstream, as a multiple of its capacity, because
// queueing delay is not a fault of the upstream. The result is zero while there
// is no median.
func overdueAfter(median time.Duration, load float64) time.Duration {
	if median == 0 {
		return 0
	}
	return max(minOverdueDelay, time.Duration(overdueFactor*max(1, load)*float64(median)))
}
