// Package exchange sends one request to one upstream and reads the response. It owns the
// connections to upstreams and the proof of what ran. Only a response that
// provably belongs to the request is returned, a truncated body never looks complete,
// and a failure is reported as "not run" only when no byte of the request can have
// reached the upstream. A Protocol defines the headers that carry those proofs.
//
// The client of package selector/upstream has another task: it reports when an upstream
// has ended a canceled request, which frees the request's slot. This package proves that
// a response belongs to its request, and closes idle connections that receive unexpected
// bytes.
package exchange

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/verdict"
)

// Request is a request to an upstream. Send does not modify it.
type Request struct {
	// ID is the client's ID of the request.
	ID string
	// Method is the HTTP method.
	Method string
	// Target is the path and query exactly as received from the client.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the complete body in segments.
	Body [][]byte
}

// BodySize returns the size of the body in bytes.
func (r *Request) BodySize() int {
	n := 0
	for _, segment := range r.Body {
		n += len(segment)
	}
	return n
}

// LoadReport is an upstream's report of its load.
type LoadReport struct {
	// Known is false when the response carried no report.
	Known bool
	// Running is the number of requests that the upstream is processing.
	Running int
	// Waiting is the number of requests in the upstream's queue.
	Waiting int
}

// ResponseInfo is the content of a response's header, independent of the platform's
// header names. Unlike selector/upstream.Status, it does not contain an upstream's
// incarnation or whether the upstream is leaving, because the store provides both here
// and each response proves its own origin.
type ResponseInfo struct {
	// WrongRequest is set when the response belongs to another request.
	WrongRequest bool
	// NotExecuted is the upstream's own proof that it did not run the request.
	NotExecuted bool
	// Misdirected is set when the address now belongs to another upstream.
	Misdirected bool
	// Signed is set when the response carries the upstream's proof of origin.
	Signed bool
	// Load is the upstream's load report.
	Load LoadReport
	// Notice is the upstream's notice about itself, if the response is provably its own.
	Notice notice.Notice
}

// Protocol writes and parses the headers that upstreams and the gateway exchange.
type Protocol interface {
	// SetHeaders adds the headers of one attempt: the intended upstream and the time
	// left for the response.
	SetHeaders(h http.Header, upstream string, left time.Duration)
	// ParseResponse parses the header of a response to the request with the given ID.
	ParseResponse(requestID string, status int, h http.Header) ResponseInfo
}

// Response is an upstream's response. Body must be closed.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header is the header exactly as received from the upstream.
	Header http.Header
	// Info is the parsed content of the header.
	Info ResponseInfo
	// Length is the body's length in bytes, or -1 when the length is unknown.
	Length int64
	// Body is the body; it returns io.EOF only at the end of a complete body.
	Body io.ReadCloser
}

// Client sends requests to upstreams.
type Client struct {
	pool         *pool
	protocol     Protocol
	terminations *terminations
	// hasPath reports whether the host reaches other upstreams.
	hasPath func() bool
	limits  ResponseLimits
}

// NewClient returns a client that connects to upstreams by dial.
func NewClient(dial Dial, protocol Protocol) *Client {
	return &Client{pool: &pool{dial: dial, idle: map[upstream.Run][]*conn{}, onSilent: func(int) {}}, protocol: protocol, terminations: newTerminations(), hasPath: func() bool { return true }, limits: ResponseLimits{HeadBytes: DefaultMaxHeadBytes, BodyBytes: DefaultMaxBodyBytes}}
}

// OnSilent sets a callback for silent connections. When a connection to an upstream
// turns out to be silent, the other connections that were idle at the same time are
// closed, and f is called with their number. OnSilent must be called before the client
// is used.
func (c *Client) OnSilent(f func(connections int)) { c.pool.onSilent = f }

// ConfirmTerminations sets the function that is asked before an upstream counts as terminated.
// It reports whether the host reaches other upstreams, because the connections of a host that
// reaches none end in the same way. ConfirmTerminations must be called before the client is
// used.
func (c *Client) ConfirmTerminations(hasPath func() bool) { c.hasPath = hasPath }

// LimitResponses sets the maximum sizes of responses. It must be called before the client is
// used.
func (c *Client) LimitResponses(l ResponseLimits) { c.limits = l }

// Retain closes the idle connections to the runs for which keep returns false.
func (c *Client) Retain(keep func(upstream.Run) bool) {
	c.pool.retain(keep)
	c.terminations.dropExpired(time.Now())
}

// CloseIdle closes the idle connections. A process that ends without it resets them.
func (c *Client) CloseIdle() { c.pool.retain(func(upstream.Run) bool { return false }) }

// Suspended adds the time for which the machine was suspended to the idle time of idle
// connections.
func (c *Client) Suspended(gap time.Duration) { c.pool.suspended(gap) }

// Target is the upstream that a request is sent to.
type Target struct {
	// Upstream is the upstream's ID, and Run its current run. A connection to an earlier
	// run is not used, because that run can't respond any more.
	Upstream string
	Run      upstream.Run
	// Address is the address at which the upstream listens, as "host:port".
	Address string
}

// Send sends a request to an upstream once. It waits for the header of the response
// until the context ends. The error is a *verdict.Error.
func (c *Client) Send(ctx context.Context, to Target, r *Request) (*Response, error) {
	return c.SendWatched(ctx, to, r, &Progress{})
}

// SendWatched is Send with progress reported to p.
func (c *Client) SendWatched(ctx context.Context, to Target, r *Request, p *Progress) (*Response, error) {
	nc, err := c.pool.get(ctx, to)
	if err != nil {
		return nil, connectError(ctx, to.Upstream, err)
	}
	left := timeLeft(ctx)
	if left <= 0 {
		c.pool.putUnused(to.Run, nc)
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineLapsed, "no time left to send").WithUpstream(to.Upstream)
	}
	if !p.maySend() {
		c.pool.putUnused(to.Run, nc)
		return nil, verdict.New(verdict.NotRun, verdict.Withheld, "the upstream no longer accepts requests").WithUpstream(to.Upstream)
	}
	x := &roundTrip{client: c, conn: nc, to: to, request: r}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	x.silence = watchSilence(c.pool, to.Run, nc)
	p.silence.Store(x.silence)
	x.progress = p
	defer x.silence.stop()
	n, err := x.write(left)
	if n > 0 {
		p.sent()
	}
	if err != nil {
		return nil, x.fail(ctx, err, n > 0)
	}
	return x.readOwnResponse(ctx)
}

// Connect opens a new connection to an upstream and keeps it for later requests.
func (c *Client) Connect(ctx context.Context, to Target) error {
	nc, err := c.pool.dial(ctx, "tcp", to.Address)
	if err != nil {
		return err
	}
	c.pool.putUnused(to.Run, newConn(nc))
	return nil
}

// ParseResponse parses the header of a response that came through another host. requestID is
// the ID of its request.
func (c *Client) ParseResponse(requestID string, status int, h http.Header) ResponseInfo {
	return c.protocol.ParseResponse(requestID, status, h)
}

// timeLeft returns the time until the context's deadline, or the maximum duration when
// the context has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline)
}
