package retry

import (
	"math/rand/v2"
	"time"

	"cairndock/internal/verdict"
)

// selector/caller has its own rule, because HTTP's Retry-After has whole seconds. The
// clients of the platform also read fractions of a second.

const (
	// minOverloadDelay is the minimum delay before a client returns whose request was
	// refused because of load. A full upstream needs about this time to work off its
	// queue.
	minOverloadDelay = 350 * time.Millisecond
	// maxOverloadJitter is the maximum random addition to minOverloadDelay, so that
	// clients that were refused together do not return together.
	maxOverloadJitter = 400 * time.Millisecond
	// failureDelay is the delay for a request that did not run for a reason other than
	// load, such as an upstream that terminated. It is shorter than minOverloadDelay
	// because there is no queue to work off, and another upstream can serve the request
	// immediately.
	failureDelay = 150 * time.Millisecond
	// minDeclinedDelay is the minimum delay for a request that an upstream refused
	// although it had free capacity. There is no queue to wait for, and another attempt
	// is likely to be served in time.
	minDeclinedDelay = 20 * time.Millisecond
	// maxDeclinedJitter is the maximum random addition to minDeclinedDelay.
	maxDeclinedJitter = 60 * time.Millisecond
	// quarantineDelay is the delay for a quarantined request. Its client should not
	// return until somebody has investigated what the request does.
	quarantineDelay = time.Minute
	// startDelay is the delay for a request to a host that has no configuration yet. The
	// host is reading the configuration, so this condition ends without intervention.
	startDelay = 200 * time.Millisecond
)

// Delay is a range of delays: Min, and up to Jitter more at random.
type Delay struct {
	Min    time.Duration
	Jitter time.Duration
}

// After returns the Retry-After delay of an error response for the final verdict and its
// reason. Only a request that did not run has a delay: a client is not asked to repeat a
// request that may have run. A request has none either if it exceeds a size limit, has no
// route or no account, or was not received completely, because it would be refused again
// unchanged. The clients of the platform wait as requested, but no longer than a third of
// their remaining time.
func After(v verdict.Verdict, r verdict.Reason) Delay {
	if v != verdict.NotRun {
		return Delay{}
	}
	switch r {
	case verdict.UnknownRoute, verdict.UnknownKey, verdict.HeaderTooLarge, verdict.BodyTooLarge, verdict.BodyStalled, verdict.BadRequest:
		return Delay{}
	case verdict.BodiesFull, verdict.Full, verdict.Warming, verdict.Withheld, verdict.NoUpstream, verdict.UpstreamShed:
		return Delay{Min: minOverloadDelay, Jitter: maxOverloadJitter}
	case verdict.UpstreamDeclined:
		return Delay{Min: minDeclinedDelay, Jitter: maxDeclinedJitter}
	case verdict.Quarantined:
		return Delay{Min: quarantineDelay}
	case verdict.NotReady:
		return Delay{Min: startDelay}
	default:
		return Delay{Min: failureDelay}
	}
}

// AfterWithheld returns the Retry-After delay when all upstreams accept no requests for
// the time d. The jitter prevents clients from returning together.
func AfterWithheld(d time.Duration) Delay { return Delay{Min: d, Jitter: maxOverloadJitter} }

// Draw returns a random delay of the range.
func (d Delay) Draw() time.Duration {
	if d.Jitter == 0 {
		return d.Min
	}
	return d.Min + rand.N(d.Jitter)
}
