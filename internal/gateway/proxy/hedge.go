package proxy

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/outlier"
	"cairndock/internal/verdict"
)

// attempts manages the attempts of a request. Only the goroutine that serves the request
// uses it. The goroutine of an attempt reports its result through results, and its timer
// reports through overdue.
type attempts struct {
	inflight *inflight
	ctx      context.Context
	running  []*attempt
	results  chan attemptResult
	overdue  chan *attempt
	// redialTimer fires when the upstreams that did not answer are dialed again; nil
	// while no redial is scheduled. If there is no redial after all, the request ends
	// with redialErr.
	redialTimer <-chan time.Time
	redialErr   error
	// done is closed when the request has its response or has failed.
	done chan struct{}
}

// attemptResult is the result of an attempt: a response or an error.
type attemptResult struct {
	attempt *attempt
	resp    *response
	err     error
}

// newAttempts returns the attempts of a request before the first one. The results channel
// has capacity for each attempt that the route allows. Any further attempt blocks with its
// result until abandon receives it.
func (f *inflight) newAttempts(ctx context.Context) *attempts {
	results := make(chan attemptResult, max(1, f.route.Attempts))
	return &attempts{inflight: f, ctx: ctx, results: results, overdue: make(chan *attempt), done: make(chan struct{})}
}

// start begins an attempt.
func (s *attempts) start(next nextAttempt) {
	f, c := s.inflight, next.choice
	f.tried = append(f.tried, c.Upstream.ID)
	f.startedAttempts++
	f.countedAttempts++
	ctx, cancel := context.WithCancelCause(s.ctx)
	a := &attempt{inflight: f, choice: c, number: f.startedAttempts, grant: next.grant, began: time.Now(), cancel: cancel}
	a.overdueAfter = f.proxy.Detector.OverdueAfter(f.service, c.Load)
	if a.overdueAfter > 0 {
		a.timer = time.AfterFunc(a.overdueAfter, func() { s.notifyOverdue(a) })
	}
	s.running = append(s.running, a)
	s.redialTimer = nil // another upstream was available
	go s.do(f.withDeadline(ctx), a)
}

// do makes an attempt. A panic is logged and counts as a failure of the attempt. Without
// the recover it would terminate the process and every request in it.
func (s *attempts) do(ctx context.Context, a *attempt) {
	result := attemptResult{attempt: a}
	defer func() {
		if v := recover(); v != nil {
			p, id := s.inflight.proxy, a.choice.Upstream.ID
			p.Log.Process("panic", fmt.Sprintf("attempt at %s: %v\n%s", id, v, debug.Stack()))
			a.cancel(nil)
			p.release(a.choice, outlier.Canceled)
			result.resp, result.err = nil, verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "the attempt panicked").WithUpstream(id)
		}
		s.results <- result
	}()
	result.resp, result.err = a.do(ctx)
}

// notifyOverdue reports that the response of an attempt is overdue, unless the request is
// done.
func (s *attempts) notifyOverdue(a *attempt) {
	select {
	case s.overdue <- a:
	case <-s.done:
	}
}

// remove removes an attempt that has ended from the running ones.
func (s *attempts) remove(a *attempt) {
	s.running = slices.DeleteFunc(s.running, func(r *attempt) bool { return r == a })
}

// handleResult handles the result of an attempt. done is set when the request has its
// response or the error that ends it. Otherwise other attempts are still running, the
// next one has been started, or a redial is scheduled.
func (s *attempts) handleResult(result attemptResult) (resp *response, done bool, err error) {
	f := s.inflight
	s.remove(result.attempt)
	if result.err == nil {
		return result.resp, true, nil
	}
	f.recordFailed(result)
	if s.endForIndirect() {
		return nil, true, f.finalVerdict(result.err)
	}
	if s.hasOnTimeAttempt() {
		return nil, false, nil
	}
	next, err := s.chooseAfter(result)
	switch {
	case err == nil:
		s.start(next)
		return nil, false, nil
	case s.scheduleRedial(err):
		return nil, false, nil
	case len(s.running) > 0:
		return nil, false, nil
	default:
		return nil, true, f.finalVerdict(err)
	}
}

// chooseAfter chooses the upstream for the attempt after a failed one. If there is none,
// it returns the error to end the request with.
func (s *attempts) chooseAfter(failed attemptResult) (nextAttempt, error) {
	f := s.inflight
	if !isUnsent(verdict.From(failed.err).Reason) {
		return f.retry(s.ctx, failed.err)
	}
	state := f.retryState()
	if !state.MayRetry(f.isDone(s.ctx)) {
		return nextAttempt{}, failed.err
	}
	next, err := f.chooseNext()
	switch {
	case eris.Is(err, errNoBudget):
		return nextAttempt{}, failed.err
	case err == nil && !state.MayUseUpstream(next.choice.Load):
		f.cancelNext(next)
		return nextAttempt{}, failed.err
	}
	return next, err
}

// hasOnTimeAttempt reports whether an attempt is running that is not overdue.
func (s *attempts) hasOnTimeAttempt() bool {
	return slices.ContainsFunc(s.running, func(a *attempt) bool { return !a.isOverdue() })
}

// hedge handles an overdue response, which is a failure of the upstream: it sends the
// request to another upstream as well. The overdue attempt continues until one of the two
// has responded, because its response may only be late, and the other upstream may have
// no free capacity, refuse or fail.
func (s *attempts) hedge(a *attempt) {
	if !a.markOverdue() {
		return
	}
	f, now := s.inflight, time.Now()
	f.proxy.Reach.RecordUnanswered(a.choice.Upstream)
	// If the request was sent on a reused connection, the connection may have gone silent
	// instead of the upstream. If all reused connections did, three hosts would eject an
	// upstream that works. The next request to it uses a new connection, and its failure
	// is recorded.
	if !a.progress.SilentOnReused() {
		f.proxy.Detector.RecordFailure(a.choice.Upstream.Run(), now)
	}
	if f.isDone(s.ctx) || !f.retryState().MayHedge(f.deadline().Sub(now), a.overdueAfter) {
		return
	}
	next, err := f.chooseRetry(now)
	if isNoUpstream(err) && f.resetUnanswered() {
		next, err = f.chooseRetry(now)
	}
	if err == nil {
		s.start(next)
	}
}

// abandon cancels the running attempts when the request has its response or has failed,
// and discards their responses.
func (s *attempts) abandon() {
	close(s.done)
	remaining := len(s.running)
	if remaining == 0 {
		return
	}
	for _, a := range s.running {
		a.cancel(errSuperseded)
	}
	go func() {
		for range remaining {
			if result := <-s.results; result.err == nil {
				s.inflight.proxy.discard(result.resp)
			}
		}
	}()
}
