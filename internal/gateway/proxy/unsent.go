package proxy

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/verdict"
)

// An attempt that was not sent has no effect at an upstream, so the request may be sent
// to another one as if that attempt had not been made. The reason says different things
// about the upstream. An upstream that accepts no requests at present, or whose machine
// refused the connection, certainly does not serve. If no connection could be made in
// time, the upstream may be unreachable from this host only, or this host may be short of
// CPU time.

// redialDelay is how long a request waits before it redials upstreams that did not
// answer, so that a host that is short of CPU time does not spend it on dialing.
const redialDelay = 100 * time.Millisecond

// isUnsent reports whether an attempt that failed for this reason was not sent.
func isUnsent(r verdict.Reason) bool {
	switch r {
	case verdict.Withheld, verdict.ConnectionRefused, verdict.Unreachable:
		return true
	default:
		return false
	}
}

// isUnconnected reports whether an attempt that failed for this reason had no connection.
func isUnconnected(r verdict.Reason) bool {
	return r == verdict.ConnectionRefused || r == verdict.Unreachable
}

// isNoUpstream reports whether the error of a choice means that no upstream is left.
func isNoUpstream(err error) bool {
	return err != nil && verdict.From(err).Reason == verdict.NoUpstream
}

// recordUnsent records an attempt that was not sent and returns the retry that it took.
// An upstream that withheld the request remains eligible, because the balancer passes it
// over as long as it accepts no requests.
func (f *inflight) recordUnsent(r verdict.Reason, a *attempt) {
	f.returnRetry(a.grant)
	u := a.choice.Upstream
	switch r {
	case verdict.Withheld:
		f.countedAttempts--
		f.removeTried(u.ID)
	case verdict.ConnectionRefused:
		f.refused = append(f.refused, u)
	case verdict.Unreachable:
		f.unanswered = append(f.unanswered, u)
	}
}

// removeTried allows an upstream to be chosen again.
func (f *inflight) removeTried(upstream string) {
	f.tried = slices.DeleteFunc(f.tried, func(id string) bool { return id == upstream })
}

// scheduleRedial reports whether a request waits to redial the upstreams that did not
// answer. err is the error that the request got instead of another attempt. The request
// waits if only these upstreams are left, if an overdue attempt is still running, or if
// it waits already.
func (s *attempts) scheduleRedial(err error) bool {
	if s.redialTimer == nil && (!isNoUpstream(err) && len(s.running) == 0 || !s.inflight.mayRedial(redialDelay)) {
		return false
	}
	if s.redialTimer == nil {
		s.redialTimer = time.After(redialDelay)
	}
	s.redialErr = err
	return true
}

// mayRedial reports whether the request may redial after waiting for the given time.
func (f *inflight) mayRedial(delay time.Duration) bool {
	return f.retryState().MayRedial(time.Since(f.began)+delay, f.deadline().Sub(f.began))
}

// redial starts an attempt at one of the upstreams that did not answer. Otherwise it
// returns the error to end the request with.
func (s *attempts) redial() error {
	s.redialTimer = nil
	f := s.inflight
	if f.isDone(s.ctx) {
		return verdict.New(verdict.NotRun, verdict.CallerLeft, "client left before the request was sent")
	}
	if !f.mayRedial(0) {
		return s.redialErr
	}
	f.resetUnanswered()
	next, err := f.chooseNext()
	switch {
	case err == nil:
		s.start(next)
	case eris.Is(err, errNoBudget):
		return s.redialErr
	}
	return err
}

// chooseNext chooses the upstream for another attempt. If the attempt repeats one that
// was sent, it needs a retry from the budget.
func (f *inflight) chooseNext() (nextAttempt, error) {
	if f.retryState().NeedsBudget() {
		return f.chooseRetry(time.Now())
	}
	c, err := f.choose()
	return nextAttempt{choice: c}, err
}

// cancelNext returns the choice and the retry of an attempt that is not made.
func (f *inflight) cancelNext(next nextAttempt) {
	f.proxy.Balancer.Done(next.choice)
	f.returnRetry(next.grant)
}

// resetUnanswered allows the upstreams that did not answer to be chosen again, as if they
// had not been dialed. It reports whether there are any.
func (f *inflight) resetUnanswered() bool {
	for _, u := range f.unanswered {
		f.removeTried(u.ID)
	}
	count := len(f.unanswered)
	f.countedAttempts -= count
	f.unanswered = nil
	return count > 0
}
