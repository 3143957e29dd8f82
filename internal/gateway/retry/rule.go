package retry

import "time"

// A request is sent to another upstream in two cases: its attempt failed
// (MayRetry), or its response is overdue (MayHedge). Either way the Budget of its
// service must grant it, and what may have run is only sent again when it may run
// more than once.

// State is what both rules look at.
type State struct {
	// Attempts is the number of upstreams that the request was sent to, and
	// MaxAttempts the route's bound on it.
	Attempts, MaxAttempts int
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// MayHaveRun is set when an attempt that failed may have run.
	MayHaveRun bool
	// Suspected is set when upstreams ended that ran the same request, and none has
	// responded to it since. Quarantined is set when it is sent to none any more.
	Suspected, Quarantined bool
}

// MayRetry is the rule for a request of which an attempt failed and none is left
// that is on time. ended is set when there is nobody to serve: the deadline
// passed, the host aborts or the client left.
func (s State) MayRetry(ended bool) bool {
	return !ended && !s.Quarantined && s.Attempts < s.MaxAttempts && (s.Repeatable || !s.MayHaveRun)
}

// MayHedge is the rule for a request whose response is overdue: the response
// may be lost, so a request that may run more than once is sent to another
// upstream if timeLeft, the time until its deadline, is enough for a response
// from there, which normally takes overdueAfter at most. In the worst seconds of a
// day of high load 0.62 in place of 0.59 of what was owed was served
// (docs/design/platform.md). A suspected request could end two upstreams at a time.
func (s State) MayHedge(timeLeft, overdueAfter time.Duration) bool {
	return s.Repeatable && !s.Suspected && s.Attempts < s.MaxAttempts && timeLeft >= overdueAfter
}
