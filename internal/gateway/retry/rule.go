package retry

import "time"

// A request is sent to another upstream in two cases: its attempt failed (MayRetry), or
// its response is overdue (MayHedge). In both cases the Budget of its service must grant
// a retry, unless the new attempt replaces one that was not sent. A request that may have
// run is only sent again if it may run more than once.

// State is the state of a request that the rules depend on.
type State struct {
	// Attempts is the number of attempts so far, and MaxAttempts the limit of the route.
	Attempts, MaxAttempts int
	// Refused and Unanswered are the numbers of Attempts without a connection: the
	// machine of the upstream refused it, or did not answer in time.
	Refused, Unanswered int
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// MayHaveRun is set when a failed attempt may have run the request.
	MayHaveRun bool
	// Suspected is set when upstreams terminated while they ran the same request, and
	// none has responded to it since. Quarantined is set when the request is no longer
	// sent to any upstream.
	Suspected, Quarantined bool
}

// maxUncountedRefusals is the number of refused connections that do not count as
// attempts. Each takes only a round trip. The value is high enough that a request still
// finds a running upstream when half of them have terminated at the same time, and it
// bounds how long a request tries while a whole service is down.
const maxUncountedRefusals = 16

// countedAttempts is the number of attempts that count towards the limit of the route. No
// upstream received anything over a refused connection, so only those above
// maxUncountedRefusals count.
func (s State) countedAttempts() int { return s.Attempts - min(s.Refused, maxUncountedRefusals) }

// SentAttempts is the number of attempts that got a connection.
func (s State) SentAttempts() int { return s.Attempts - s.Refused - s.Unanswered }

// NeedsBudget reports whether the next attempt repeats one that was sent. Such an attempt
// needs a retry from the budget.
func (s State) NeedsBudget() bool { return s.SentAttempts() > 0 }

// attemptLimit is the limit of the route on attempts. A route without a limit has one
// attempt.
func (s State) attemptLimit() int { return max(1, s.MaxAttempts) }

// maxExtraAttemptLoad is the load, as a fraction of an upstream's capacity, below which
// the upstream accepts an attempt beyond the route's limit after refused connections.
// Such an upstream usually does not have the object of the request. When many upstreams
// have terminated and the others are busy, the additional work would cost more requests
// than the one that is served.
const maxExtraAttemptLoad = 0.5

// MayUseUpstream reports whether a request that MayRetry allows may be sent to an upstream with
// the given load.
func (s State) MayUseUpstream(load float64) bool {
	return s.Attempts < s.attemptLimit() || load < maxExtraAttemptLoad
}

// MayRetry is the rule for a request with a failed attempt and no attempt left that is on
// time. done is set when nobody waits for the response any more: the deadline has passed,
// the host aborts or the client disconnected. An attempt whose connection could not be
// made in time counts. When a whole zone is unreachable, requests for its upstreams reach
// others late and add to the load there.
func (s State) MayRetry(done bool) bool {
	return !done && s.countedAttempts() < s.attemptLimit() && s.maySend()
}

// maySend reports whether the request may be sent again after its previous attempts.
func (s State) maySend() bool { return !s.Quarantined && (s.Repeatable || !s.MayHaveRun) }

// MayHedge is the rule for a request whose response is overdue. The response may be lost,
// so a request that may run more than once is sent to another upstream if there is enough
// time for a response from there. timeLeft is the time until the deadline, and
// overdueAfter the longest time that a response normally takes. A suspected request is
// not hedged, because it could terminate two upstreams at a time. An upstream that did
// not answer a dial does not use up an attempt here, because the overdue response may
// never come.
func (s State) MayHedge(timeLeft, overdueAfter time.Duration) bool {
	return s.Repeatable && !s.Suspected && s.SentAttempts() < s.attemptLimit() && timeLeft >= overdueAfter
}

// MayGoIndirect is the rule for a request of a host that reaches no upstream, which may be sent
// through another host. done is the same as for MayRetry. Attempts without a connection don't
// count, because the host could not make any.
func (s State) MayGoIndirect(done bool) bool {
	return !done && s.SentAttempts() < s.attemptLimit() && s.maySend()
}

// MayRedial is the rule for a request for which only upstreams are left that did not
// answer a dial. Whether they are reachable is unknown. The request waits for them for up
// to half of its total time, so that its client has time left for another host. elapsed
// is the time since the request arrived, and total the time that the request may take.
func (s State) MayRedial(elapsed, total time.Duration) bool {
	return s.Unanswered > 0 && elapsed < total/2 && s.SentAttempts() < s.attemptLimit() && s.maySend()
}
