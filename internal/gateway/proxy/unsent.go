package proxy

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/verdict"
)

// An attempt that was not sent left nothing at an upstream: the request may go to
// another one as if it had not been made. What differs is what it says of the upstream
// that was chosen. One that takes no requests now, or whose machine refused the
// connection, is known not to serve; one that could not be connected to in time may be
// cut off from this host, or the host was short of processor time.

// redialPause is how long a request waits before upstreams are dialed again that did not
// answer, so that a host that is short of processor time does not spend it on dials.
const redialPause = 100 * time.Millisecond

// isUnsent reports whether an attempt that failed for a reason was not sent.
func isUnsent(r verdict.Reason) bool {
	switch r {
	case verdict.Withheld, verdict.ConnectionRefused, verdict.Unreachable:
		return true
	default:
		return false
	}
}

// isNoUpstream reports whether an error of a choice means that no upstream is left.
func isNoUpstream(err error) bool {
	return err != nil && verdict.From(err).Reason == verdict.NoUpstream
}

// noteUnsent remembers an attempt that was not sent, for a reason, and gives back the retry
// that it took. An upstream that withheld it is passed over by the balancer while it does.
func (f *inflight) noteUnsent(r verdict.Reason, a *attempt) {
	if a.repeat {
		f.proxy.Budget.Return(f.service, time.Now())
	}
	u := a.choice.Upstream
	switch r {
	case verdict.Withheld:
		f.attempts--
		f.untry(u.ID)
	case verdict.ConnectionRefused:
		f.refused = append(f.refused, u)
	case verdict.Unreachable:
		f.unanswered = append(f.unanswered, u)
	}
}

// untry lets an upstream be chosen again.
func (f *inflight) untry(upstream string) {
	f.tried = slices.DeleteFunc(f.tried, func(id string) bool { return id == upstream })
}

// redialSoon reports whether a request that got err in place of another attempt waits to
// dial again the upstreams that did not answer: those are all that is left, or an overdue
// attempt is, or it waits already.
func (s *attempts) redialSoon(err error) bool {
	if s.redialAt == nil && (!isNoUpstream(err) && len(s.running) == 0 || !s.inflight.mayRedial(redialPause)) {
		return false
	}
	if s.redialAt == nil {
		s.redialAt = time.After(redialPause)
	}
	s.redialFor = err
	return true
}

// mayRedial is the rule for a request that waits for a time to dial again.
func (f *inflight) mayRedial(wait time.Duration) bool {
	return f.retryState().MayRedial(time.Since(f.began)+wait, f.deadline().Sub(f.began))
}

// redial begins an attempt at one of the upstreams that did not answer. Otherwise it
// gives the error to end the request with.
func (s *attempts) redial() error {
	s.redialAt = nil
	f := s.inflight
	if f.ended(s.ctx) {
		return verdict.New(verdict.NotRun, verdict.CallerLeft, "client left before the request was sent")
	}
	if !f.mayRedial(0) {
		return s.redialFor
	}
	f.forgetUnanswered()
	c, err := f.chooseNext()
	switch {
	case err == nil:
		s.start(c)
	case eris.Is(err, errNoBudget):
		return s.redialFor
	}
	return err
}

// chooseNext chooses the upstream of another attempt, within the budget if it repeats one
// that was sent.
func (f *inflight) chooseNext() (balance.Choice, error) {
	if f.retryState().IsRepeat() {
		return f.chooseRetry(time.Now())
	}
	return f.choose()
}

// unchoose gives back a choice that no attempt is made for.
func (f *inflight) unchoose(c balance.Choice) {
	f.proxy.Balancer.Done(c)
	if f.retryState().IsRepeat() {
		f.proxy.Budget.Return(f.service, time.Now())
	}
}

// forgetUnanswered lets the upstreams be chosen again that did not answer, as if they
// had not been dialed, and reports whether there are any.
func (f *inflight) forgetUnanswered() bool {
	for _, u := range f.unanswered {
		f.untry(u.ID)
	}
	forgotten := len(f.unanswered)
	f.attempts -= forgotten
	f.unanswered = nil
	return forgotten > 0
}
