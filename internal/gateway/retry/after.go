package retry

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
	// its queue off.
	overloadPause = 350 * time.Millisecond
	// overloadJitter is the most that is added to overloadPause at random, so
	// that clients refused together do not return together.
	overloadJitter = 400 * time.Millisecond
	// failurePause is when a client should return whose request did not run for
	// another reason than load, such as an upstream that was gone. No queue has
	// to shorten and another upstream can serve it at once, so it is shorter.
	failurePause = 150 * time.Millisecond
	// declinedPause is the least time after which a client should return whose
	// request an upstream refused though it had free capacity: there is no queue to
	// wait for, and one more try is likely to be served in time.
	declinedPause = 20 * time.Millisecond
	// declinedJitter is the most that is added to declinedPause at random.
	declinedJitter = 60 * time.Millisecond
	// quarantinePause is when a client should return whose request is quarantined: not
	// while people have not looked at what it does.
	quarantinePause = time.Minute
	// startPause is when a client should return to a host that has no
	// configuration yet: it is reading it, which ends by itself.
	startPause = 200 * time.Millisecond
)

// Pause is a time to wait: Least, and up to Jitter more at random.
type Pause struct {
	Least  time.Duration
	Jitter time.Duration
}

// After is the rule for the Retry-After of an error response, by the final
// verdict and its reason. Only a request that did not run has one: the client is
// not asked to repeat what may have run. A request that breaks a limit of size, has
// no route or no account, or was not received whole has none either: returning as it is, it would
// be refused again. The platform's clients wait as asked, but no longer than a
// third of the time that they have left.
func After(v verdict.Verdict, r verdict.Reason) Pause {
	if v != verdict.NotRun {
		return Pause{}
	}
	switch r {
	case verdict.UnknownRoute, verdict.UnknownKey, verdict.HeaderTooLarge, verdict.BodyTooLarge, verdict.BodyStalled, verdict.BadRequest:
		return Pause{}
	case verdict.Full, verdict.Warming, verdict.Withheld, verdict.NoUpstream, verdict.UpstreamShed:
		return Pause{Least: overloadPause, Jitter: overloadJitter}
	case verdict.UpstreamDeclined:
		return Pause{Least: declinedPause, Jitter: declinedJitter}
	case verdict.Quarantined:
		return Pause{Least: quarantinePause}
	case verdict.NotReady:
		return Pause{Least: startPause}
	default:
		return Pause{Least: failurePause}
	}
}

// AfterWithheld is the rule where all upstreams take no request for a time: clients return
// after it, and not together.
func AfterWithheld(d time.Duration) Pause { return Pause{Least: d, Jitter: overloadJitter} }

// Draw picks a time of the range at random.
func (p Pause) Draw() time.Duration {
	if p.Jitter == 0 {
		return p.Least
	}
	return p.Least + rand.N(p.Jitter)
}
