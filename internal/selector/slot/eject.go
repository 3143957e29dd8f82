package slot

import "time"

// Ejection here is by a host's own requests alone, unlike that of
// gateway/outlier, which sums what a region's hosts saw: there each host sends
// little to an upstream, and a wrong ejection moves its objects; here a host
// has slots of its own at an upstream, and tries one request after each rest.
const (
	// failEjection is how long an upstream is ejected after its first failure
	// in a row; each further one doubles it, up to maxFailEjection. Chosen, not
	// measured.
	failEjection = 200 * time.Millisecond
	// maxFailEjection bounds the doubling after failures: one request in that
	// time finds out that the upstream is back. Chosen, not measured.
	maxFailEjection = 5 * time.Second
	// shedEjection is how long an upstream is ejected that sheds although it
	// has the least concurrency limit; each further such shed doubles it, up to
	// maxShedEjection. Chosen, not measured.
	shedEjection = 100 * time.Millisecond
	// maxShedEjection bounds the doubling after sheds. Chosen, not measured.
	maxShedEjection = 2 * time.Second
	// maxDoublings keeps the shift below from overflowing. Both bounds are
	// reached before it.
	maxDoublings = 8
)

// ejectAfterFailure is how long an upstream is ejected after a failure, for the
// failures in a row before that one.
func ejectAfterFailure(before int) time.Duration {
	return min(failEjection<<min(before, maxDoublings), maxFailEjection)
}

// ejectAfterShed is how long an upstream is ejected after a shed of a request
// that was alone there, for such sheds in a row before that one.
func ejectAfterShed(before int) time.Duration {
	return min(shedEjection<<min(before, maxDoublings), maxShedEjection)
}
