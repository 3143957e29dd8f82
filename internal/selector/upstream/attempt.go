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
	"cairndock/internal/readlimit"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/slot"
	"cairndock/internal/verdict"
)

// attempt is one attempt to send a request to an upstream.
type attempt struct {
	target Target
	start  time.Time
	once   sync.Once
	done   Done

	mu sync.Mutex
	// conn is nil until a connection is assigned. requestNumber is the
	// request's number on conn.
	conn          *conn
	requestNumber uint64
}

// finish reports the slot as free. Only the first call has an effect.
func (a *attempt) finish(outcome slot.Outcome) {
	a.once.Do(func() { a.done(outcome, time.Since(a.start)) })
}

// gotConn records the connection that the Transport assigned. The Transport
// calls it before it writes the first byte.
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

// upstream returns "zone/name", the form in which verdicts and responses
// identify an upstream.
func (a *attempt) upstream() string { return a.target.Zone + "/" + a.target.Name }

// fail ends an attempt without a response and returns its *verdict.Error. If any
// byte was written, the slot becomes free only when the upstream has closed the
// connection.
func (a *attempt) fail(ctx context.Context, err error) error {
	c := a.current()
	written := c != nil && c.seal()
	f := classify(written, ctx.Err())
	if written {
		// Close cancels the request. Its error does not affect the outcome.
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

// failure is the classification of an attempt without a response.
type failure struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	// outcome is recorded for the upstream.
	outcome slot.Outcome
	// detail is the prefix of the error text; empty if the attempt only ran out
	// of time.
	detail string
}

// classify classifies an attempt without a response. written reports whether any
// byte of the request was passed to the connection: if not, the request
// certainly did not run, else it may have run. ctxErr is the error of the
// request's context. If the client left before anything was sent, the outcome
// does not count against the upstream. A request that is cancelled before it is
// sent gets DeadlineLapsed as its reason, because no client reads the response.
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

// refused ends an attempt that the upstream refused without running the request.
func (a *attempt) refused(resp *http.Response) error {
	// If the body can't be read completely, only the connection is lost.
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeaderBytes))
	if err == nil {
		a.responseRead()
	}
	_ = resp.Body.Close()
	a.finish(slot.Shed)
	return verdict.New(verdict.NotRun, verdict.UpstreamShed, "upstream refused").WithUpstream(a.upstream())
}

// response returns the response for the client. The slot becomes free when the
// body was read to its end or closed.
func (a *attempt) response(resp *http.Response, cancel context.CancelFunc) *call.Response {
	chunked := len(resp.TransferEncoding) > 0 && strings.EqualFold(resp.TransferEncoding[0], "chunked")
	b := &body{attempt: a, inner: resp.Body, limited: readlimit.New(resp.Body, maxBodyBytes, bodySource(a.upstream())), cancel: cancel}
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

// bodySource describes the body of a response in errors.
func bodySource(upstream string) string { return "the response body of upstream " + upstream }

func newBodyLimitError(upstream string) error {
	return &readlimit.Error{Source: bodySource(upstream), Limit: maxBodyBytes}
}

// body is a response body that frees the slot of the request at its end.
type body struct {
	attempt *attempt
	inner   io.ReadCloser
	// limited reads inner up to maxBodyBytes.
	limited io.Reader
	cancel  context.CancelFunc
	// unframed means that the body has neither a length nor chunks. Its end
	// can't be distinguished from a broken connection.
	unframed bool
	complete bool
}

// Read returns io.EOF only when the whole response was read.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.limited.Read(p)
	if err == io.EOF {
		if b.unframed {
			return n, io.ErrUnexpectedEOF
		}
		if !b.complete {
			b.complete = true
			b.attempt.responseRead()
			b.attempt.finish(slot.Success)
		}
	}
	return n, err
}

// Close cancels the request if its response was not read completely. In this
// case the slot becomes free when the upstream has closed its side of the
// connection.
func (b *body) Close() error {
	if b.complete {
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
	// The response is discarded, so an error of Close has no effect.
	_ = c.Close()
	return b.inner.Close()
}
