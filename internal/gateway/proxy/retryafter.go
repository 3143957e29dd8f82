package proxy

import (
	"math/rand/v2"
	"time"

	"cairndock/internal/verdict"
)

// selector/caller has its own rule: HTTP's whole seconds. The platform's clients
// also read fractions of a second.

const (
	// overloadPause is the least time after which a client that was refused for
	// load should return: an upstream that is full needs about as long to work
	// its queue off. Against a fixed 150 ms, 350 to 750 ms lowered the share of
	// requests refused for good from 0.010 to 0.007 (cacf-ruteo scale-1) and from
	// 0.042 to 0.034 (renkoda-mix scale-1); a fixed 300 and 600 ms did less
	// (docs/design/platform.md).
	overloadPause = 350 * time.Millisecond
	// overloadJitter is the most that is added to overloadPause at random, so
	// that clients refused together do not return together. Measured with it.
	overloadJitter = 400 * time.Millisecond
	// failurePause is when a client should return whose request did not run for
	// another reason than load, such as an upstream that was gone. No queue has
	// to shorten and another upstream can serve it at once, so it is shorter.
	// Chosen, not measured.
	failurePause = 150 * time.Millisecond
	// startPause is when a client should return to a host that has no
	// configuration yet: it is reading it, which ends by itself. Chosen, not
	// measured.
	startPause = 200 * time.Millisecond
)

// pauseRange is a time to wait: least, and up to jitter more at random.
type pauseRange struct {
	least  time.Duration
	jitter time.Duration
}

// retryAfter is the rule for the Retry-After of an error response, by the final
// verdict and its reason. Only a request that did not run has one: the client is
// not asked to repeat what may have run. A request that breaks a limit, has no
// route or was not received whole has none either: returning as it is, it would
// be refused again. The platform's clients wait as asked, but no longer than a
// third of the time that they have left.
func retryAfter(v verdict.Verdict, r verdict.Reason) pauseRange {
	if v != verdict.NotRun {
		return pauseRange{}
	}
	switch r {
	case verdict.UnknownRoute, verdict.HeaderTooLarge, verdict.BodyTooLarge, verdict.BodyStalled, verdict.BadRequest:
		return pauseRange{}
	case verdict.Full, verdict.Warming, verdict.NoUpstream, verdict.UpstreamShed:
		return pauseRange{least: overloadPause, jitter: overloadJitter}
	case verdict.NotReady:
		return pauseRange{least: startPause}
	default:
		return pauseRange{least: failurePause}
	}
}

// draw picks a time of the range at random.
func (p pauseRange) draw() time.Duration {
	if p.jitter == 0 {
		return p.least
	}
	return p.least + rand.N(p.jitter)
}
