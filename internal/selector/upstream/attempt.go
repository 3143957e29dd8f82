package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"cairndock/internal/httpheader"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/slot"
	"cairndock/internal/verdict"
)

// attempt is one request on its way to an upstream.
type attempt struct {
	target Target
	began  time.Time
	once   sync.Once
	done   Done

	mu sync.Mutex
	// conn is nil until a connection was assigned; requestNumber is the
	// request's number on it.
	conn          *conn
	requestNumber uint64
}

// finish reports the slot as free. Calls after the first have no effect.
func (a *attempt) finish(outcome slot.Outcome) {
	a.once.Do(func() { a.done(outcome, time.Since(a.began)) })
}

// gotConn records the connection that the Transport assigned. It runs before
// the first byte is written.
func (a *attempt) gotConn(info httptrace.GotConnInfo, deadline time.Time) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	request := c.begin(deadline)
	a.mu.Lock()
	a.conn, a.requestNumber = c, request
	a.mu.Unlock()
}

func (a *attempt) current() *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// responseRead records on the connection that the whole response was read.
func (a *attempt) responseRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.end(a.requestNumber)
	}
}

// upstream is "zone/name", as verdicts and responses name an upstream.
func (a *attempt) upstream() string { return a.target.Zone + "/" + a.target.Name }

// fail ends a request that got no response. Where bytes were written, the slot
// is free only when the upstream has closed the connection.
func (a *attempt) fail(ctx context.Context, err error) error {
	c := a.current()
	written := c != nil && c.seal()
	f := classify(written, ctx.Err())
	if written {
		// Closing cancels the request; its result says nothing more.
		_ = c.Close()
		c.whenClosed(func() { a.finish(f.outcome) })
	} else {
		a.finish(f.outcome)
	}
	if f.detail != "" {
		return verdict.New(f.verdict, f.reason, "%s: %v", f.detail, err).WithUpstream(a.upstream())
	}
	return verdict.New(f.verdict, f.reason, "no connection in time").WithUpstream(a.upstream())
}

// failure is the meaning of an attempt without a response.
type failure struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	// outcome is what the attempt counts as in the upstream's record.
	outcome slot.Outcome
	// detail introduces the cause; empty if the cause is only the time.
	detail string
}

// classify is the rule for an attempt without a response. written says whether
// any byte of the request was handed to the connection: without one the
// request has certainly not run, with one it may have. ctxErr is the state of
// the request's context. An upstream is not blamed for a client that left
// before anything was sent. A request that is cancelled before it is sent
// reports its deadline as the reason, as nobody reads that response.
func classify(written bool, ctxErr error) failure {
	left := errors.Is(ctxErr, context.Canceled)
	switch {
	case !written && left:
		return failure{verdict: verdict.NotRun, reason: verdict.DeadlineLapsed, outcome: slot.Unused}
	case !written && ctxErr != nil:
		return failure{verdict: verdict.NotRun, reason: verdict.DeadlineLapsed, outcome: slot.Failure}
	case !written:
		return failure{verdict: verdict.NotRun, reason: verdict.UpstreamFailed, outcome: slot.Failure, detail: "not sent"}
	case left:
		return failure{verdict: verdict.MayHaveRun, reason: verdict.CallerLeft, outcome: slot.Failure, detail: "no response"}
	case ctxErr != nil:
		return failure{verdict: verdict.MayHaveRun, reason: verdict.DeadlineLapsed, outcome: slot.Failure, detail: "no response"}
	default:
		return failure{verdict: verdict.MayHaveRun, reason: verdict.UpstreamFailed, outcome: slot.Failure, detail: "no response"}
	}
}

// refused ends a request that the upstream refused without running it.
func (a *attempt) refused(resp *http.Response) error {
	// A body that can't be read whole only costs the connection.
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeaderBytes))
	if err == nil {
		a.responseRead()
	}
	_ = resp.Body.Close()
	a.finish(slot.Shed)
	return verdict.New(verdict.NotRun, verdict.UpstreamShed, "upstream refused").WithUpstream(a.upstream())
}

// response makes the response, whose body frees the slot at its end.
func (a *attempt) response(resp *http.Response, cancel context.CancelFunc) *call.Response {
	chunked := len(resp.TransferEncoding) > 0 && strings.EqualFold(resp.TransferEncoding[0], "chunked")
	b := &body{attempt: a, inner: resp.Body, cancel: cancel}
	b.unframed = resp.ContentLength < 0 && !chunked && resp.Request.Method != http.MethodHead
	return &call.Response{
		Status:   resp.StatusCode,
		Header:   httpheader.EndToEnd(resp.Header),
		Body:     b,
		Length:   resp.ContentLength,
		Upstream: a.upstream(),
		Verdict:  verdict.Ran,
	}
}

// body is a response's body that frees the slot at its end.
type body struct {
	attempt *attempt
	inner   io.ReadCloser
	cancel  context.CancelFunc
	// unframed means that the body has neither a length nor chunks, so that
	// its end can't be distinguished from a broken connection.
	unframed bool
	whole    bool
}

// Read returns io.EOF only when the whole response was read.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == io.EOF {
		if b.unframed {
			return n, io.ErrUnexpectedEOF
		}
		if !b.whole {
			b.whole = true
			b.attempt.responseRead()
			b.attempt.finish(slot.Success)
		}
	}
	return n, err
}

// Close cancels the request if its response was not read whole; the slot is
// free once the upstream has closed its side of the connection.
func (b *body) Close() error {
	if b.whole {
		err := b.inner.Close()
		b.cancel()
		return err
	}
	c := b.attempt.current()
	if c == nil {
		b.cancel()
		b.attempt.finish(slot.Failure)
		return b.inner.Close()
	}
	c.whenClosed(func() { b.attempt.finish(slot.Failure) })
	b.cancel()
	// The response is given up, so that an error of closing changes nothing.
	_ = c.Close()
	return b.inner.Close()
}
