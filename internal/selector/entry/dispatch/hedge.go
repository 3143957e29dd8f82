package dispatch

import (
	"context"
	"time"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/steer"
	"cairndock/internal/verdict"
)

// result is how one of two tries ended.
type result struct {
	resp  *call.Response
	err   error
	first bool
}

// try offers the request to a zone. A lookup that takes much longer than
// usual is also offered to the next choice, within the budget of retries;
// the first response wins and the other try is cancelled.
func (r *request) try(ctx context.Context, c steer.Choice) (*call.Response, error) {
	delay, ok := r.hedgeDelay()
	if !ok {
		return bufferPrefix(r.offer(ctx, c, time.Time{}))
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	results := make(chan result, 2)
	go func() {
		resp, err := bufferPrefix(r.offer(firstCtx, c, time.Time{}))
		results <- result{resp, err, true}
	}()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case won := <-results:
		return finish(won, cancelFirst)
	case <-timer.C:
	}
	next, ok := r.next()
	if !ok || next.Full {
		return finish(<-results, cancelFirst)
	}
	secondCtx, cancelSecond := context.WithCancel(ctx)
	go func() {
		resp, err := bufferPrefix(r.offer(secondCtx, next, time.Time{}))
		results <- result{resp, err, false}
	}()
	return race(results, cancelFirst, cancelSecond)
}

// hedgeDelay gives when to hedge the first try, and whether to hedge at all:
// not before the upstreams' usual latency is known.
func (r *request) hedgeDelay() (time.Duration, bool) {
	if !mayHedge(r.svc.Class, r.repeatable(), r.ticketed()) {
		return 0, false
	}
	_, _, latency := r.state.Usage()
	return hedgeDelay(latency), latency != 0
}

// race waits for the first response of two tries. When both fail, one that
// may have run decides the verdict.
func race(results <-chan result, cancelFirst, cancelSecond context.CancelFunc) (*call.Response, error) {
	won := <-results
	if won.err != nil {
		other := <-results
		if other.err == nil || verdict.From(won.err).Verdict == verdict.NotRun {
			won = other
		}
		if won.err != nil {
			cancelFirst()
			cancelSecond()
			return nil, won.err
		}
		return finish(won, both(cancelFirst, cancelSecond))
	}
	cancelWon, cancelLost := cancelFirst, cancelSecond
	if !won.first {
		cancelWon, cancelLost = cancelSecond, cancelFirst
	}
	cancelLost()
	go func() {
		if lost := <-results; lost.err == nil {
			_ = lost.resp.Body.Close() // nobody reads it
		}
	}()
	return finish(won, cancelWon)
}

func both(a, b context.CancelFunc) context.CancelFunc {
	return func() {
		a()
		b()
	}
}

func finish(a result, cancel context.CancelFunc) (*call.Response, error) {
	if a.err != nil {
		cancel()
		return nil, a.err
	}
	out := *a.resp
	out.Body = endBody{a.resp.Body, cancel}
	return &out, nil
}
