package proxy

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/verdict"
)

// attempts are a request's attempts. Only the goroutine that serves the request
// uses them; an attempt's own goroutine tells it of its end by ends, and its
// timer by overdue.
type attempts struct {
	inflight *inflight
	ctx      context.Context
	running  []*attempt
	ends     chan attemptEnd
	overdue  chan *attempt
	// redialAt is when upstreams that did not answer are dialed again, in place of ending
	// the request with redialFor; nil if they are not.
	redialAt  <-chan time.Time
	redialFor error
	// done is closed when the request has its response or is given up.
	done chan struct{}
}

// attemptEnd is how an attempt ended: with a response or an error.
type attemptEnd struct {
	attempt *attempt
	resp    *response
	err     error
}

// newAttempts has room for the end of each attempt that the route allows; one that is
// left waits for abandon.
func (f *inflight) newAttempts(ctx context.Context) *attempts {
	ends := make(chan attemptEnd, max(1, f.route.Attempts))
	return &attempts{inflight: f, ctx: ctx, ends: ends, overdue: make(chan *attempt), done: make(chan struct{})}
}

// start begins an attempt at an upstream that choose has chosen.
func (s *attempts) start(c balance.Choice) {
	f := s.inflight
	repeat := f.retryState().IsRepeat()
	f.tried = append(f.tried, c.Upstream.ID)
	f.started++
	f.attempts++
	ctx, cancel := context.WithCancelCause(s.ctx)
	a := &attempt{inflight: f, choice: c, number: f.started, repeat: repeat, began: time.Now(), cancel: cancel}
	a.overdueAfter = f.proxy.Detector.OverdueAfter(f.service, c.Load)
	if a.overdueAfter > 0 {
		a.timer = time.AfterFunc(a.overdueAfter, func() { s.tellOverdue(a) })
	}
	s.running = append(s.running, a)
	s.redialAt = nil // there was another upstream
	go s.do(f.untilDeadline(ctx), a)
}

// do makes an attempt. One that panics has failed, with a line in the log: in
// this goroutine the panic would end the process and every request on it.
func (s *attempts) do(ctx context.Context, a *attempt) {
	end := attemptEnd{attempt: a}
	defer func() {
		if v := recover(); v != nil {
			p, id := s.inflight.proxy, a.choice.Upstream.ID
			p.Log.Process("panic", fmt.Sprintf("attempt at %s: %v\n%s", id, v, debug.Stack()))
			a.cancel(nil)
			p.release(a.choice, outlier.Canceled)
			end.resp, end.err = nil, verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "the attempt panicked").WithUpstream(id)
		}
		s.ends <- end
	}()
	end.resp, end.err = a.do(ctx)
}

// tellOverdue says that an attempt's response is overdue, unless nobody waits for it.
func (s *attempts) tellOverdue(a *attempt) {
	select {
	case s.overdue <- a:
	case <-s.done:
	}
}

// forget takes an attempt that has ended off those that run.
func (s *attempts) forget(a *attempt) {
	s.running = slices.DeleteFunc(s.running, func(r *attempt) bool { return r == a })
}

// take takes the end of an attempt. done is set when the request has its
// response or the error that ends it; otherwise other attempts go on, or the
// next one has begun.
func (s *attempts) take(end attemptEnd) (resp *response, done bool, err error) {
	f := s.inflight
	s.forget(end.attempt)
	if end.err == nil {
		return end.resp, true, nil
	}
	f.noteFailed(end)
	if s.onTime() {
		return nil, false, nil
	}
	c, err := s.next(end)
	switch {
	case err == nil:
		s.start(c)
		return nil, false, nil
	case s.redialSoon(err):
		return nil, false, nil
	case len(s.running) > 0:
		return nil, false, nil
	default:
		return nil, true, f.finalVerdict(err)
	}
}

// next chooses the upstream of the attempt after one that failed. Otherwise it gives the
// error to end the request with.
func (s *attempts) next(end attemptEnd) (balance.Choice, error) {
	f := s.inflight
	if !isUnsent(verdict.From(end.err).Reason) {
		return f.retry(s.ctx, end.err)
	}
	state := f.retryState()
	if !state.MayRetry(f.ended(s.ctx)) {
		return balance.Choice{}, end.err
	}
	c, err := f.chooseNext()
	switch {
	case eris.Is(err, errNoBudget):
		return c, end.err
	case err == nil && !state.MayGoTo(c.Load):
		f.unchoose(c)
		return balance.Choice{}, end.err
	}
	return c, err
}

// onTime reports whether an attempt runs that is not overdue.
func (s *attempts) onTime() bool {
	return slices.ContainsFunc(s.running, func(a *attempt) bool { return !a.isOverdue() })
}

// hedge sends a request whose response is overdue, which is a failure of the
// upstream, to another one beside it. The response may be lost, or only be late:
// the attempt goes on until one of the two has responded, as the other upstream
// may have no room, refuse or fail.
func (s *attempts) hedge(a *attempt) {
	if !a.markOverdue() {
		return
	}
	f, now := s.inflight, time.Now()
	// On a connection that was used before, the connection may have gone silent:
	// when all of them do, three hosts would eject an upstream that works. The
	// next request there has a new one, and counts.
	if !a.progress.SilentOnReused() {
		f.proxy.Detector.RecordFailure(a.choice.Upstream.Run(), now)
	}
	if f.ended(s.ctx) || !f.retryState().MayHedge(f.deadline().Sub(now), a.overdueAfter) {
		return
	}
	c, err := f.chooseRetry(now)
	if isNoUpstream(err) && f.forgetUnanswered() {
		c, err = f.chooseRetry(now)
	}
	if err == nil {
		s.start(c)
	}
}

// abandon cancels the attempts that still run when the request has its response
// or is given up, and drops what they bring.
func (s *attempts) abandon() {
	close(s.done)
	left := len(s.running)
	if left == 0 {
		return
	}
	for _, a := range s.running {
		a.cancel(errSuperseded)
	}
	go func() {
		for range left {
			if end := <-s.ends; end.err == nil {
				s.inflight.proxy.discard(end.resp)
			}
		}
	}()
}
