package retry

import "time"

// A request is sent to another upstream in two cases: its attempt failed
// (MayRetry), or its response is overdue (MayHedge). Either way the Budget of its
// service must grant it, and what may have run is only sent again when it may run
// more than once.

// State is what both rules look at.
type State struct {
	// Attempts is how many attempts were made, and MaxAttempts the route's bound on
	// those that were sent.
	Attempts, MaxAttempts int
	// Refused and Unanswered are how many of Attempts got no connection: the upstream's
	// machine refused it, or did not answer in time.
	Refused, Unanswered int
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// MayHaveRun is set when an attempt that failed may have run.
	MayHaveRun bool
	// Suspected is set when upstreams ended that ran the same request, and none has
	// responded to it since. Quarantined is set when it is sent to none any more.
	Suspected, Quarantined bool
}

const (
	// maxRefused is how many refused connections leave a request its attempts. Each
	// takes a round trip, and several upstreams may have ended side by side.
	maxRefused = 4
	// maxUnanswered is how many connections that were not made in time leave a request
	// its attempts. Each takes the time of a dial, after which few requests are served
	// in time, and where a zone is dark its upstreams' requests add to those of the rest.
	maxUnanswered = 2
)

// attemptLeft reports whether the route's bound leaves an attempt. Attempts without a
// connection count only above bounds of their own, as no upstream has got anything of
// them. A route without a bound has one.
func (s State) attemptLeft() bool {
	counted := s.Attempts - min(s.Refused, maxRefused) - min(s.Unanswered, maxUnanswered)
	return counted < max(1, s.MaxAttempts)
}

// MayRetry is the rule for a request of which an attempt failed and none is left
// that is on time. ended is set when there is nobody to serve: the deadline
// passed, the host aborts or the client left.
func (s State) MayRetry(ended bool) bool {
	return !ended && !s.Quarantined && s.attemptLeft() && (s.Repeatable || !s.MayHaveRun)
}

// MayHedge is the rule for a request whose response is overdue: the response
// may be lost, so a request that may run more than once is sent to another
// upstream if timeLeft, the time until its deadline, is enough for a response
// from there, which normally takes overdueAfter at most. In the worst seconds of a
// day of high load 0.62 in place of 0.59 of what was owed was served
// (docs/design/platform.md). A suspected request could end two upstreams at a time.
func (s State) MayHedge(timeLeft, overdueAfter time.Duration) bool {
	return s.Repeatable && !s.Suspected && s.attemptLeft() && timeLeft >= overdueAfter
}

// MayRedial is the rule for a request that has no upstream left but those that did not
// answer a dial: whether these can be reached is not known. It waits for them for half
// the time that it is held, which leaves its client time to turn to another host.
func (s State) MayRedial(held, mayHold time.Duration) bool {
	return s.Unanswered > 0 && held < mayHold/2
}
