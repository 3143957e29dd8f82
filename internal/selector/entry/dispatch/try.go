package dispatch

import (
	"bytes"
	"context"
	"io"
	"time"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/steer"
	"cairndock/internal/verdict"
)

// result is how one of two tries ended; try is its index.
type result struct {
	resp *call.Response
	err  error
	try  int
}

// try offers the request to a zone. A lookup that takes much longer than
// usual is also offered to the next choice, within the budget of retries;
// the first response wins and the other try is cancelled.
func (r *request) try(ctx context.Context, c steer.Choice) (*call.Response, error) {
	delay, ok := r.whenToHedge()
	if !ok {
		return bufferPrefix(r.offer(ctx, c, time.Time{}))
	}
	results := make(chan result, 2)
	cancelFirst := r.start(ctx, c, 0, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case only := <-results:
		return finish(only, cancelFirst)
	case <-timer.C:
	}
	next, ok := r.next()
	if !ok || next.Full {
		return finish(<-results, cancelFirst)
	}
	return race(results, [2]context.CancelFunc{cancelFirst, r.start(ctx, next, 1, results)})
}

// start offers the request to a zone in a goroutine of its own, and gives what
// cancels that.
func (r *request) start(ctx context.Context, c steer.Choice, try int, results chan<- result) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		resp, err := bufferPrefix(r.offer(ctx, c, time.Time{}))
		results <- result{resp, err, try}
	}()
	return cancel
}

// whenToHedge gives when to hedge the first try, and whether to hedge at all:
// not before the upstreams' usual latency is known.
func (r *request) whenToHedge() (time.Duration, bool) {
	if !mayHedge(r.svc.Class, r.repeatable(), r.ticketed()) {
		return 0, false
	}
	_, _, latency := r.state.Usage()
	return hedgeDelay(latency), latency != 0
}

// race waits for the first response of two tries. When both fail, one that
// may have run decides the verdict.
func race(results <-chan result, cancels [2]context.CancelFunc) (*call.Response, error) {
	won := <-results
	if won.err != nil {
		if other := <-results; other.err == nil || verdict.From(won.err).Verdict == verdict.NotRun {
			won = other
		}
		cancels[1-won.try]()
		return finish(won, cancels[won.try])
	}
	cancels[1-won.try]()
	go func() {
		if lost := <-results; lost.err == nil {
			_ = lost.resp.Body.Close() // nobody reads it
		}
	}()
	return finish(won, cancels[won.try])
}

// finish gives the outcome of a try, whose context ends with the response's
// body or at once when there is none.
func finish(won result, cancel context.CancelFunc) (*call.Response, error) {
	if won.err != nil {
		cancel()
		return nil, won.err
	}
	out := *won.resp
	out.Body = cancelBody{won.resp.Body, cancel}
	return &out, nil
}

// cancelBody ends its try's context once it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and then ends the context.
func (b cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// maxPrefix is the size, in bytes, up to which a response is read whole before
// any of it goes to the client: one that breaks off is then a verdict, and may
// be asked for again (docs/design/request.md).
const maxPrefix = 32 << 10

// bufferedBody gives the buffered prefix and then the rest.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// bufferPrefix reads the beginning of a response ahead: a short body whole, and
// of one that is longer, or of unknown length, its first bytes. gateway/proxy
// has its own, which always waits for the whole prefix.
func bufferPrefix(resp *call.Response, err error) (*call.Response, error) {
	if err != nil {
		return nil, err
	}
	small := resp.Length >= 0 && resp.Length <= maxPrefix
	size := maxPrefix + 1 // one more, to see the end
	if small {
		size = int(resp.Length) + 1
	}
	buf := make([]byte, size)
	n, readErr := 0, error(nil)
	for readErr == nil && n < len(buf) {
		var m int
		m, readErr = resp.Body.Read(buf[n:])
		n += m
		if !small && n > 0 {
			break
		}
	}
	if readErr != nil && readErr != io.EOF {
		_ = resp.Body.Close() // the read error is the verdict
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "the response broke off: %v", readErr).WithUpstream(resp.Upstream)
	}
	out := *resp
	ahead := io.Reader(bytes.NewReader(buf[:n]))
	if readErr == nil {
		ahead = io.MultiReader(ahead, resp.Body)
	}
	out.Body = bufferedBody{ahead, resp.Body}
	return &out, nil
}
