// Package upstream sends requests to upstreams and proves, or doubts,
// whether they ran.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"cairndock/internal/call"
	"cairndock/internal/selector/slot"
	"cairndock/internal/verdict"
)

const (
	// cancelGrace is how long after a request's deadline an upstream may
	// still be busy with it. Upstreams accept deadlines.
	cancelGrace = 500 * time.Millisecond
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// idleTimeout closes connections that are not used.
	idleTimeout = 30 * time.Second
	// maxHeader bounds an answer's header, in bytes.
	maxHeader = 64 << 10
	// headerLoad carries an upstream's own view of its load, 0 to 1.
	headerLoad = "Cairndock-Load"
)

// DialFunc makes a connection to an upstream.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Word is what an upstream says of itself with an answer.
type Word struct {
	// Instance is the upstream's incarnation.
	Instance string
	// Leaving says that it wants no new work.
	Leaving bool
	// Load is its own view of its load, negative when it said none.
	Load float64
}

// Target names the upstream of a request.
type Target struct {
	Name string
	Zone string
	Addr string
}

// Done is told once when a request's slot is free again: the upstream has
// answered, has refused, or is certainly no longer busy with it.
type Done func(outcome slot.Outcome, latency time.Duration)

// Client sends requests to the upstreams of one zone.
type Client struct {
	transport *http.Transport
	// Hear is told each upstream's word on itself.
	hear func(name string, w Word)
}

// New makes a client. hear may be nil.
func New(dial DialFunc, hear func(name string, w Word)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if hear == nil {
		hear = func(string, Word) {}
	}
	c := &Client{hear: hear}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: nc}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    slot.MaxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}
	return c
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// attempt is one request on its way.
type attempt struct {
	client *Client
	target Target
	began  time.Time
	once   sync.Once
	done   Done

	mu      sync.Mutex
	conn    *conn
	request uint64
}

func (a *attempt) finish(outcome slot.Outcome) {
	a.once.Do(func() { a.done(outcome, time.Since(a.began)) })
}

func (a *attempt) gotConn(info httptrace.GotConnInfo, deadline time.Time) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	request := c.begin(deadline)
	a.mu.Lock()
	a.conn, a.request = c, request
	a.mu.Unlock()
}

func (a *attempt) current() *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// Send sends a request once. Its error is a *verdict.Error: NotRun when no
// byte was written or the upstream itself refused, else MayHaveRun. done is
// called once in every case.
func (c *Client) Send(ctx context.Context, t Target, req *call.Request, done Done) (*call.Answer, error) {
	a := &attempt{client: c, target: t, began: time.Now(), done: done}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.gotConn(i, req.Deadline) }}
	out, err := c.request(httptrace.WithClientTrace(ctx, trace), t, req)
	if err != nil {
		cancel()
		a.finish(slot.Unused)
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		failure := a.failed(ctx, err) // before cancel, which changes ctx
		cancel()
		return nil, failure
	}
	c.hear(t.Name, wordOf(resp.Header))
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(call.HeaderShed) == verdict.NotRun.String() {
		defer cancel()
		return nil, a.shed(resp)
	}
	return a.answer(resp, cancel), nil
}

func (c *Client) request(ctx context.Context, t Target, req *call.Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(req.Target)
	if err != nil {
		return nil, eris.Wrap(err, "parse target")
	}
	u.Scheme, u.Host = "http", t.Addr
	out := (&http.Request{
		Method: req.Method, URL: u, Host: t.Addr, Header: req.Header.Clone(),
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(req.Body)),
		// A body of its own keeps the transport from sending the request
		// a second time by itself.
		Body: io.NopCloser(bytes.NewReader(req.Body)),
	}).WithContext(ctx)
	if out.Header == nil {
		out.Header = http.Header{}
	}
	out.Header.Set(call.HeaderDeadline, strconv.FormatInt(req.Deadline.UnixMilli(), 10))
	if req.Ticket != "" {
		out.Header.Set(call.HeaderTicket, req.Ticket)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	return out, nil
}

func wordOf(h http.Header) Word {
	w := Word{Instance: h.Get(call.HeaderInstance), Leaving: h.Get(call.HeaderState) == call.StateLeaving, Load: -1}
	if load, err := strconv.ParseFloat(h.Get(headerLoad), 64); err == nil {
		w.Load = load
	}
	return w
}

// end says that the whole answer was read.
func (a *attempt) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.end(a.request)
	}
}

// failed decides the verdict on a request that got no answer.
func (a *attempt) failed(ctx context.Context, err error) error {
	c := a.current()
	if c == nil || !c.seal() {
		a.finish(a.unsentOutcome(ctx))
		if ctx.Err() != nil {
			return verdict.New(verdict.NotRun, verdict.DeadlineLapsed, "no connection in time").WithUpstream(a.name())
		}
		return verdict.New(verdict.NotRun, verdict.UpstreamFailed, "not sent: %v", err).WithUpstream(a.name())
	}
	_ = c.Close()
	c.whenClosed(func() { a.finish(slot.Failure) })
	reason := verdict.UpstreamFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = verdict.DeadlineLapsed
	case ctx.Err() != nil:
		reason = verdict.CallerLeft
	}
	return verdict.New(verdict.MayHaveRun, reason, "no answer: %v", err).WithUpstream(a.name())
}

// unsentOutcome blames the upstream for a connection that was not made,
// unless the caller left.
func (a *attempt) unsentOutcome(ctx context.Context) slot.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return slot.Unused
	}
	return slot.Failure
}

func (a *attempt) name() string { return a.target.Zone + "/" + a.target.Name }

// shed reads an upstream's refusal, which proves that it did not run.
func (a *attempt) shed(resp *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeader))
	if err == nil {
		a.end()
	}
	_ = resp.Body.Close()
	a.finish(slot.Shed)
	return verdict.New(verdict.NotRun, verdict.UpstreamShed, "upstream refused").WithUpstream(a.name())
}

func (a *attempt) answer(resp *http.Response, cancel context.CancelFunc) *call.Answer {
	chunked := len(resp.TransferEncoding) > 0 && strings.EqualFold(resp.TransferEncoding[0], "chunked")
	b := &body{attempt: a, inner: resp.Body, cancel: cancel}
	// Without a length the end can't be told from a broken connection.
	b.endless = resp.ContentLength < 0 && !chunked && resp.Request.Method != http.MethodHead
	return &call.Answer{
		Status:   resp.StatusCode,
		Header:   call.EndToEnd(resp.Header),
		Body:     b,
		Length:   resp.ContentLength,
		Upstream: a.name(),
		Verdict:  verdict.Ran,
	}
}

// body is an answer's body that frees the slot at its end.
type body struct {
	attempt *attempt
	inner   io.ReadCloser
	cancel  context.CancelFunc
	endless bool
	whole   bool
}

// Read gives io.EOF only when the whole answer was read.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == io.EOF {
		if b.endless {
			return n, io.ErrUnexpectedEOF
		}
		b.ended()
	}
	return n, err
}

func (b *body) ended() {
	if b.whole {
		return
	}
	b.whole = true
	b.attempt.end()
	b.attempt.finish(slot.Success)
}

// Close gives the answer up if it was not read whole; the slot is free once
// the upstream has closed its side.
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
	_ = c.Close()
	return b.inner.Close()
}

// Probe asks an upstream for its own word. Its health may lag or mislead.
func (c *Client) Probe(ctx context.Context, t Target) (Word, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+"/healthz", nil)
	if err != nil {
		return Word{}, eris.Wrap(err, "make probe")
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Word{}, eris.Wrap(err, "probe upstream")
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeader))
	return wordOf(resp.Header), nil
}
