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

// result is the outcome of one of two tries. The field try is the index of the
// try.
type result struct {
	resp *call.Response
	err  error
	try  int
}

// try offers the request to a zone. A lookup that takes much longer than usual
// is also offered to the next zone, within the retry budget. The first response
// is used and the other try is cancelled.
func (r *request) try(ctx context.Context, c steer.Choice) (*call.Response, error) {
	delay, ok := r.hedgeTiming()
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

// start offers the request to a zone in a new goroutine and returns a function
// that cancels the offer.
func (r *request) start(ctx context.Context, c steer.Choice, try int, results chan<- result) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		resp, err := bufferPrefix(r.offer(ctx, c, time.Time{}))
		results <- result{resp, err, try}
	}()
	return cancel
}

// hedgeTiming returns the delay before the first try is hedged, and whether it
// may be hedged. There is no hedging until the usual latency of the upstreams is
// known.
func (r *request) hedgeTiming() (time.Duration, bool) {
	if !mayHedge(r.svc.Class, r.repeatable(), r.ticketed()) {
		return 0, false
	}
	_, _, latency := r.state.Usage()
	return hedgeDelay(latency), latency != 0
}

// race returns the first response of two tries. When both fail, the verdict of
// a try that may have run takes precedence.
func race(results <-chan result, cancels [2]context.CancelFunc) (*call.Response, error) {
	winner := <-results
	if winner.err != nil {
		if other := <-results; other.err == nil || verdict.From(winner.err).Verdict == verdict.NotRun {
			winner = other
		}
		cancels[1-winner.try]()
		return finish(winner, cancels[winner.try])
	}
	cancels[1-winner.try]()
	go func() {
		if loser := <-results; loser.err == nil {
			_ = loser.resp.Body.Close() // the response is discarded
		}
	}()
	return finish(winner, cancels[winner.try])
}

// finish returns the outcome of a try. The context of the try is cancelled when
// the response body is closed, or immediately when there is no response.
func finish(r result, cancel context.CancelFunc) (*call.Response, error) {
	if r.err != nil {
		cancel()
		return nil, r.err
	}
	out := *r.resp
	out.Body = cancelBody{r.resp.Body, cancel}
	return &out, nil
}

// cancelBody is a response body that cancels the context of its try on Close.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and then cancels the context.
func (b cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// maxPrefix is the maximum size, in bytes, of a response that is read completely
// before any of it is sent to the client. When such a response is truncated, the
// client gets a verdict instead, and the request may be retried
// (docs/design/request.md).
const maxPrefix = 32 << 10

// bufferedBody reads the buffered prefix and then the rest of the body.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// bufferPrefix reads the beginning of a response body ahead. A body of at most
// maxPrefix bytes is read completely. Of a longer body, or one of unknown length,
// only the bytes of the first read are buffered. The counterpart in
// gateway/proxy always waits for the whole prefix.
func bufferPrefix(resp *call.Response, err error) (*call.Response, error) {
	if err != nil {
		return nil, err
	}
	small := resp.Length >= 0 && resp.Length <= maxPrefix
	size := maxPrefix + 1 // the extra byte detects the end of the body
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
		_ = resp.Body.Close() // the read error decides the verdict
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
