package retry

import "time"

// A request is sent to another upstream in two cases: its attempt failed
// (MayRetry), or its response is overdue (MayHedge). Either way the Budget of its
// service must grant it, unless it takes the place of an attempt that was not sent, and
// what may have run is only sent again when it may run more than once.

// State is what both rules look at.
type State struct {
	// Attempts is how many attempts were made, and MaxAttempts the route's bound on them.
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

// maxRefused is how many refused connections leave a request its attempts. Each takes a
// round trip, and several upstreams may have ended side by side.
const maxRefused = 4

// attempted is how many attempts count against the route's bound. Of a refused connection
// no upstream has got anything, so that only those above maxRefused count.
func (s State) attempted() int { return s.Attempts - min(s.Refused, maxRefused) }

// sent is how many attempts did not fail for want of a connection.
func (s State) sent() int { return s.Attempts - s.Refused - s.Unanswered }

// IsRepeat reports whether the next attempt repeats one that was sent, which needs the
// budget.
func (s State) IsRepeat() bool { return s.sent() > 0 }

// bound is the route's bound on attempts. A route without one has one attempt.
func (s State) bound() int { return max(1, s.MaxAttempts) }

// roomyLoad is the load, in its capacities, below which an upstream takes a request whose
// refused connections are above its route's attempts. Such an upstream mostly does not know
// the request's object: where many have ended and the rest is busy, its work would cost
// more requests than the one that is served.
const roomyLoad = 0.5

// MayGoTo is the rule for a request that MayRetry lets go to another upstream, by that
// one's load.
func (s State) MayGoTo(load float64) bool { return s.Attempts < s.bound() || load < roomyLoad }

// MayRetry is the rule for a request of which an attempt failed and none is left
// that is on time. ended is set when there is nobody to serve: the deadline
// passed, the host aborts or the client left. A connection that was not made in time is
// an attempt: where a zone is dark, what its upstreams would serve comes late elsewhere
// and adds to the load there.
func (s State) MayRetry(ended bool) bool {
	return !ended && s.attempted() < s.bound() && s.maySend()
}

// maySend reports whether the request may be sent after what its attempts did.
func (s State) maySend() bool { return !s.Quarantined && (s.Repeatable || !s.MayHaveRun) }

// MayHedge is the rule for a request whose response is overdue: the response
// may be lost, so a request that may run more than once is sent to another
// upstream if timeLeft, the time until its deadline, is enough for a response
// from there, which normally takes overdueAfter at most. A suspected request could end
// two upstreams at a time.
// An upstream that did not answer a dial leaves it the attempt: the one that is overdue
// may never respond.
func (s State) MayHedge(timeLeft, overdueAfter time.Duration) bool {
	return s.Repeatable && !s.Suspected && s.sent() < s.bound() && timeLeft >= overdueAfter
}

// MayRedial is the rule for a request that is left with the upstreams that did not answer
// a dial: whether these can be reached is not known. It waits for them for half the time
// for which it may be held, which leaves its client time to turn to another host.
func (s State) MayRedial(held, mayHold time.Duration) bool {
	return s.Unanswered > 0 && held < mayHold/2 && s.sent() < s.bound() && s.maySend()
}
