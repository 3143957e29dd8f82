// Package exchange sends one request to one upstream and reads its response.
// It owns the connections to upstreams and the proof of what ran: only a
// response that provably belongs to the request is returned, a body that
// breaks off never looks complete, and a failure is reported as "not run" only
// when no byte of the request can have reached the upstream. Which headers
// carry those proofs is up to a Protocol.
//
// It is not selector/upstream's client: that one reports when an upstream has
// ended a canceled request, which frees its slot; this one proves that a
// response belongs to its request, and drops connections that are not silent.
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

// Request is what is sent to an upstream. It is not changed by Send.
type Request struct {
	// ID is the client's id of the request.
	ID string
	// Method is the HTTP method.
	Method string
	// Target is the path and query as the client wrote them.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// LoadReport is what an upstream reports of its load.
type LoadReport struct {
	// Known is false when the response carried no report.
	Known bool
	// Running is the number of requests that the upstream works on.
	Running int
	// Waiting is the number of requests in the upstream's queue.
	Waiting int
}

// ResponseInfo is what a response's header says, in the product's terms. It is
// not selector/upstream.Status: that protocol names an upstream's incarnation
// and whether it leaves; here the store says both, and a response proves itself.
type ResponseInfo struct {
	// WrongRequest is set when the response belongs to another request.
	WrongRequest bool
	// NotExecuted is the upstream's own proof that it did not run the request.
	NotExecuted bool
	// Misdirected is set when another upstream has the address now.
	Misdirected bool
	// Signed is set when the response carries the upstream's proof of origin.
	Signed bool
	// Load is the upstream's load report.
	Load LoadReport
	// Notice is what the upstream says of itself, if the response is provably its own.
	Notice notice.Notice
}

// Protocol reads and writes the headers that upstreams and the gateway
// exchange.
type Protocol interface {
	// SetHeaders adds the headers of one attempt: the upstream that is meant
	// and the time left for the response.
	SetHeaders(h http.Header, upstream string, left time.Duration)
	// ParseResponse reads the header of a response to the request with an id.
	ParseResponse(requestID string, status int, h http.Header) ResponseInfo
}

// Response is an upstream's response. Body must be closed.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header is the header as the upstream sent it.
	Header http.Header
	// Info is what the header says.
	Info ResponseInfo
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int64
	// Body is the body; only a whole body ends with io.EOF.
	Body io.ReadCloser
}

// Client sends requests to upstreams.
type Client struct {
	pool         *pool
	protocol     Protocol
	terminations *terminations
}

// NewClient makes a client that connects to upstreams by dial.
func NewClient(dial Dial, protocol Protocol) *Client {
	return &Client{pool: &pool{dial: dial, idle: map[upstream.Run][]*conn{}, onSilent: func(int) {}}, protocol: protocol, terminations: newTerminations()}
}

// OnSilent has f called with the number of idle connections to an upstream that were
// given up, as one that was idle beside them turned out to be silent. It is set
// before the client is used.
func (c *Client) OnSilent(f func(connections int)) { c.pool.onSilent = f }

// Retain closes the idle connections to the runs that keep rejects.
func (c *Client) Retain(keep func(upstream.Run) bool) {
	c.pool.retain(keep)
	c.terminations.dropExpired(time.Now())
}

// Suspended has idle connections be idle for longer by the time for which the machine
// was suspended.
func (c *Client) Suspended(gap time.Duration) { c.pool.suspended(gap) }

// Target is the upstream that a request is sent to.
type Target struct {
	// Upstream is its id, and Run its present run: a connection to an earlier run
	// is not used, as nothing is there that could respond.
	Upstream string
	Run      upstream.Run
	// Address is where it listens, as "host:port".
	Address string
}

// Send sends a request once to an upstream, and waits until the context ends for
// the header of its response. Its error is a *verdict.Error.
func (c *Client) Send(ctx context.Context, to Target, r *Request) (*Response, error) {
	return c.SendWatched(ctx, to, r, &Progress{})
}

// SendWatched is Send, which p follows.
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
		return nil, verdict.New(verdict.NotRun, verdict.Withheld, "the upstream takes none any more").WithUpstream(to.Upstream)
	}
	x := &roundTrip{client: c, conn: nc, to: to, request: r}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	x.silence = watchSilence(c.pool, to.Run, nc)
	p.silence.Store(x.silence)
	x.progress = p
	defer x.silence.stop()
	n, err := nc.Write(x.encode(left))
	if n > 0 {
		p.sent()
	}
	if err != nil {
		return nil, x.fail(ctx, err, n > 0)
	}
	return x.readOwnResponse(ctx)
}

// timeLeft is the time until the context's deadline, or the longest duration
// when it has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline)
}
