package slot

import "time"

// Ejection in this package is based on the host's own requests only. Package
// gateway/outlier instead sums the observations of all hosts of a region, because
// there each host sends few requests to an upstream, and a wrong ejection moves the
// upstream's objects. In this package a host has its own slots at an upstream and
// tries a single request after each ejection.
const (
	// minFailurePeriod is the ejection period after the first of several
	// consecutive failures. Each further failure doubles the period, up to
	// maxFailurePeriod.
	minFailurePeriod = 200 * time.Millisecond
	// maxFailurePeriod is the maximum ejection period after failures. One request
	// per period detects that the upstream is available again.
	maxFailurePeriod = 5 * time.Second
	// minShedPeriod is the ejection period after an upstream at the minimum
	// concurrency limit sheds a request. Each further such shed doubles the
	// period, up to maxShedPeriod.
	minShedPeriod = 100 * time.Millisecond
	// maxShedPeriod is the maximum ejection period after sheds.
	maxShedPeriod = 2 * time.Second
	// maxDoublings prevents an overflow of the shift in ejectionPeriod. Both
	// maximum periods are reached with fewer doublings.
	maxDoublings = 8
)

// ejectionPeriod returns how long an upstream is ejected: minPeriod, doubled for
// each of the preceding consecutive failures or sheds, up to maxPeriod.
func ejectionPeriod(minPeriod, maxPeriod time.Duration, preceding int) time.Duration {
	return min(minPeriod<<min(preceding, maxDoublings), maxPeriod)
}
