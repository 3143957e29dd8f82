// Package exchange sends one request to one upstream and takes its answer,
// and only its answer: what it can't prove to be the whole answer to this
// very request is a failure, and what it can't prove not to have run may have
// run.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/verdict"
)

// Request is what one upstream is sent.
type Request struct {
	// ID is the caller's id of the request.
	ID     string
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Repeat says that the request may run more than once.
	Repeat bool
}

// Target is the upstream of one attempt.
type Target struct {
	UpstreamID string
	Address    string
}

// Load is what an upstream tells of its load.
type LoadReport struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Sign is what an answer's header tells, in the product's words.
type ResponseInfo struct {
	// Foreign says that the answer belongs to another request.
	WrongRequest bool
	// NotRun is the upstream's own proof that it did not run the request.
	NotExecuted bool
	// Misdirected says that another instance has the address now.
	Misdirected bool
	// Genuine says that the answer carries the upstream's proof of origin.
	Signed bool
	Load   LoadReport
}

// Protocol knows the headers of requests and answers.
type Protocol interface {
	// Address sets what one attempt adds to the request's header.
	SetHeaders(h http.Header, instance string, left time.Duration)
	// Read tells what an answer's header says to the request with an id.
	ParseResponse(requestID string, status int, h http.Header) ResponseInfo
}

// Answer is an upstream's answer. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Info   ResponseInfo
	// Length is the body's length in bytes, or -1 when it is not told.
	Length int64
	Body   io.ReadCloser
	// HeaderAfter is how long the answer's header took.
	HeaderAfter time.Duration
}

// Client sends requests.
type Client struct {
	pool     *Pool
	protocol Protocol
}

// NewClient makes a client.
func NewClient(pool *Pool, protocol Protocol) *Client {
	return &Client{pool: pool, protocol: protocol}
}

// Pool is the client's pool of connections.
func (c *Client) Pool() *Pool { return c.pool }

// maxForeign bounds the answers to other requests that are skipped.
const maxWrongResponses = 4

// Send sends a request and waits for the header of its answer until the
// context ends. Its error is a *verdict.Error.
func (c *Client) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	began := time.Now()
	nc, err := c.pool.get(ctx, t.UpstreamID, t.Address)
	if err != nil {
		return nil, notSent(ctx, t, err)
	}
	left := time.Duration(1<<63 - 1)
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	if left <= 0 {
		c.pool.put(t.UpstreamID, nc, 0)
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineLapsed, "no time left to send").WithUpstream(t.UpstreamID)
	}
	x := &roundTrip{client: c, conn: nc, target: t, request: r}
	// A context that ends wakes whoever reads or writes the connection.
	x.stop = context.AfterFunc(ctx, func() { _ = nc.SetDeadline(past) })
	head := x.encode(left)
	if n, err := nc.Write(head); err != nil {
		return nil, x.failed(ctx, err, n > 0)
	}
	answer, err := x.readOwnResponse(ctx)
	if err != nil {
		return nil, err
	}
	answer.HeaderAfter = time.Since(began)
	return answer, nil
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

func notSent(ctx context.Context, t Target, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.NotRun, verdict.CallerLeft, "caller left before the request was sent").WithUpstream(t.UpstreamID)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.DeadlineLapsed, "no connection in time: %v", err).WithUpstream(t.UpstreamID)
	}
	return verdict.New(verdict.NotRun, verdict.Unreachable, "no connection: %v", err).WithUpstream(t.UpstreamID)
}

// transfer is one request on one connection.
type roundTrip struct {
	client  *Client
	conn    *conn
	target  Target
	request *Request
	stop    func() bool
}

func (x *roundTrip) encode(left time.Duration) []byte {
	r := x.request
	h := r.Header.Clone()
	x.client.protocol.SetHeaders(h, x.target.UpstreamID, left)
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || bodyExpected(r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// answer reads answers until one belongs to the request.
func (x *roundTrip) readOwnResponse(ctx context.Context) (*Response, error) {
	for range maxWrongResponses {
		resp, err := x.readResponse()
		if err != nil {
			return nil, x.failed(ctx, err, true)
		}
		sign := x.client.protocol.ParseResponse(x.request.ID, resp.StatusCode, resp.Header)
		if !sign.WrongRequest {
			return x.deliver(resp, sign), nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, x.failed(ctx, eris.New("answer to another request, then the connection ended"), true)
		}
	}
	return nil, x.failed(ctx, eris.New("too many answers to other requests"), true)
}

// read reads one answer's header; interim answers are passed over.
func (x *roundTrip) readResponse() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// failed closes the connection and gives the verdict on a request without an
// answer. sent says whether any byte may have reached the upstream.
func (x *roundTrip) failed(ctx context.Context, err error, sent bool) error {
	x.stop()
	_ = x.conn.Close()
	v := verdict.MayHaveRun
	if !sent {
		v = verdict.NotRun
	}
	reason := verdict.UpstreamFailed
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = verdict.CallerLeft
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		reason = verdict.DeadlineLapsed
	}
	return verdict.New(v, reason, "no answer: %v", err).WithUpstream(x.target.UpstreamID)
}

func (x *roundTrip) deliver(resp *http.Response, sign ResponseInfo) *Response {
	b := &body{roundTrip: x, inner: resp.Body, reusable: !resp.Close, idleTimeout: keepAliveTimeout(resp.Header)}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Info: sign, Length: resp.ContentLength, Body: b}
}

// restMargin is how much earlier than the upstream the pool closes a
// connection that rests.
const idleMargin = 500 * time.Millisecond

// restOf gives how long a connection may rest, by the Keep-Alive header.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond)
	}
	return 0
}

// body is an answer's body that gives its connection back at the end.
type body struct {
	roundTrip   *roundTrip
	inner       io.ReadCloser
	reusable    bool
	idleTimeout time.Duration
	whole       bool
	closed      bool
}

// Read gives io.EOF only when the whole body was read.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close gives the connection back if the answer was read whole, and closes
// it otherwise, which cancels the request at the upstream.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	x := b.roundTrip
	woken := !x.stop()
	if !b.whole || !b.reusable || woken || x.conn.reader.Buffered() > 0 {
		return x.conn.Close()
	}
	x.client.pool.put(x.target.UpstreamID, x.conn, b.idleTimeout)
	return nil
}
