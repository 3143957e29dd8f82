// Package upstream sends requests to the upstreams of one zone. For each request
// it determines whether the request has run, and when the upstream is no longer
// busy with it, which frees the request's slot. The package owns the connections
// to upstreams; package slot decides which requests may be sent.
//
// Package gateway/exchange has the same task in the gateway. The two packages need
// control over different aspects of a connection. This package
// half-closes a connection to detect when a cancelled request has ended, which
// is possible with net/http's Transport and a custom net.Conn. Package exchange
// checks that each response belongs to its request and that no data arrives on
// an idle connection, which the Transport hides; it does not need to detect the
// end of a cancelled request.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/slot"
	"cairndock/internal/verdict"
)

const (
	// dialTimeout limits connection setup. It is far above a round trip within
	// a zone and half of a service's default timeout of 2 s. Unlike
	// gateway/dial, this package does not probe for broken network links,
	// because all upstreams are in the host's own zone.
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxIdlePerUpstream limits the idle connections to one upstream. It equals
	// the maximum number of slots that can be configured for an upstream.
	maxIdlePerUpstream = 64
	// maxHeaderBytes limits the header of a response, and the bytes read from
	// the body of a refusal or of a response to a probe.
	maxHeaderBytes = 64 << 10
	// maxBodyBytes limits the body of a response, as in package gateway/exchange.
	maxBodyBytes = 64 << 20
	// maxDiscardTime limits how long the next attempt waits for the body of a refusal, as
	// in package gateway/proxy.
	maxDiscardTime = 50 * time.Millisecond
	// maxLingerBytes limits the bytes that are read after a request was canceled.
	maxLingerBytes = 1 << 20
)

// DialFunc connects to an upstream.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Status is the state that an upstream reports in the headers of a response,
// also to a probe. Unlike gateway/exchange.ResponseInfo, it has no information on
// whether a response belongs to its request, because here a connection carries
// one request at a time and is not reused after an incomplete response.
type Status struct {
	// Incarnation identifies one process of the upstream.
	Incarnation string
	// Leaving means that the upstream accepts no new requests.
	Leaving bool
	// Load is the load that the upstream reports, 0 to 1; negative if it reports
	// none.
	Load float64
}

// Target is the upstream of a request.
type Target struct {
	Name string
	Zone string
	// Addr is "address:port".
	Addr string
}

// Done is called exactly once, when a request's slot is free again because the
// upstream has sent its complete response, has refused the request, or is no
// longer busy with it. latency is the time since the call of Send.
type Done func(outcome slot.Outcome, latency time.Duration)

// Client sends requests to the upstreams of one zone.
type Client struct {
	transport *http.Transport
	// onStatus is called with the status in each response's headers.
	onStatus func(name string, s Status)
}

// New returns a client. If dial is nil, the client dials TCP. onStatus is called
// with the status in each response's headers, and may be nil.
func New(dial DialFunc, onStatus func(name string, s Status)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if onStatus == nil {
		onStatus = func(string, Status) {}
	}
	c := &Client{onStatus: onStatus}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newConn(nc), nil
		},
		DisableCompression:     true,
		MaxIdleConns:           0, // no limit over all upstreams
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends a request once and returns the response, whose body is not read
// yet. The error is a *verdict.Error: NotRun if no byte was written or the
// upstream refused the request, else MayHaveRun. done is called exactly once in
// every case.
func (c *Client) Send(ctx context.Context, t Target, req *call.Request, done Done) (*call.Response, error) {
	a := &attempt{target: t, start: time.Now(), done: done}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.gotConn(i, req.Deadline) }}
	out, err := newRequest(httptrace.WithClientTrace(ctx, trace), t, req)
	if err != nil {
		cancel()
		a.finish(slot.Unused)
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		failure := a.fail(ctx, err) // before cancel, which changes ctx.Err
		cancel()
		return nil, failure
	}
	if resp.ContentLength > maxBodyBytes && req.Method != http.MethodHead {
		failure := a.fail(ctx, newBodyLimitError(a.upstream()))
		cancel()
		_ = resp.Body.Close() // the response is not used
		return nil, failure
	}
	c.onStatus(t.Name, parseStatus(resp.Header))
	if isRefusal(resp) {
		defer cancel()
		timeout := time.AfterFunc(maxDiscardTime, cancel)
		defer timeout.Stop()
		return nil, a.refused(resp)
	}
	return a.response(resp, cancel), nil
}

// newRequest returns the HTTP request for an upstream.
func newRequest(ctx context.Context, t Target, req *call.Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(req.Target)
	if err != nil {
		return nil, eris.Wrap(err, "parse target")
	}
	u.Scheme, u.Host = "http", t.Addr
	out := (&http.Request{
		Method: req.Method, URL: u, Host: t.Addr, Header: req.Header.Clone(),
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(req.Body)),
		// Without GetBody, the Transport does not retry a request that has a
		// Body.
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

// isRefusal reports whether the upstream states that it did not run the request,
// by status 503 and HeaderShed. A 503 without this header may be sent after the
// request ran.
func isRefusal(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(call.HeaderShed) == verdict.NotRun.String()
}

// parseStatus reads an upstream's status from headers. A load that is not a
// number is treated as not reported.
func parseStatus(h http.Header) Status {
	s := Status{Incarnation: h.Get(call.HeaderInstance), Leaving: h.Get(call.HeaderState) == call.StateLeaving, Load: -1}
	if load, err := strconv.ParseFloat(h.Get(call.HeaderLoad), 64); err == nil {
		s.Load = load
	}
	return s
}

// Probe requests an upstream's status from its health path. The HTTP status of
// the response is ignored. The report may be outdated or wrong.
func (c *Client) Probe(ctx context.Context, t Target) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+"/healthz", nil)
	if err != nil {
		return Status{}, eris.Wrap(err, "make probe")
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Status{}, eris.Wrap(err, "probe upstream")
	}
	defer resp.Body.Close()
	// Reading the body allows the connection to be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeaderBytes))
	return parseStatus(resp.Header), nil
}
