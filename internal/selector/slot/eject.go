package slot

import "time"

// Ejection here is by a host's own requests alone, unlike that of
// gateway/outlier, which sums what a region's hosts saw: there each host sends
// little to an upstream, and a wrong ejection moves its objects; here a host
// has slots of its own at an upstream, and tries one request after each rest.
const (
	// failEjection is how long an upstream is ejected after its first failure
	// in a row; each further one doubles it, up to maxFailEjection.
	failEjection = 200 * time.Millisecond
	// maxFailEjection bounds the doubling after failures: one request in that
	// time finds out that the upstream is back.
	maxFailEjection = 5 * time.Second
	// shedEjection is how long an upstream is ejected that sheds although it
	// has the least concurrency limit; each further such shed doubles it, up to
	// maxShedEjection.
	shedEjection = 100 * time.Millisecond
	// maxShedEjection bounds the doubling after sheds.
	maxShedEjection = 2 * time.Second
	// maxDoublings keeps the shift in ejection from overflowing. Both bounds are
	// reached before it.
	maxDoublings = 8
)

// ejection is how long an upstream is ejected: first, doubled for each failure
// or shed in a row before this one, up to longest.
func ejection(first, longest time.Duration, before int) time.Duration {
	return min(first<<min(before, maxDoublings), longest)
}
