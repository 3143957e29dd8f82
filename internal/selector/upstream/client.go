// Package upstream sends requests to the upstreams of one zone and determines
// for each whether it has run, and when the upstream is no longer busy with
// it, which frees the request's slot. It owns the connections to upstreams and
// relies on slot for who may send.
//
// internal/gateway/exchange does the same duty for the gateway. Both exist
// because they must control different ends of a connection: this package
// half-closes it to learn when a cancelled request has ended (net/http's
// Transport allows that by a net.Conn of its own), exchange checks that each
// response belongs to its request and that an idle connection is silent (which
// the Transport hides), and needs no notice of the end.
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
	// dialTimeout limits connecting: far above a round trip within a zone,
	// and half of a service's default timeout of 2 s. Cut links are not
	// probed as by gateway/dial: upstreams are in the own zone.
	dialTimeout = time.Second
	// idleTimeout closes connections without a request.
	idleTimeout = 30 * time.Second
	// maxIdle limits the idle connections to one upstream: the most slots that
	// an upstream can have by its configuration.
	maxIdle = 64
	// maxHeaderBytes limits a response's header, and what is read of the body
	// of a refusal or probe.
	maxHeaderBytes = 64 << 10
)

// DialFunc connects to an upstream.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Status is what an upstream reports of itself in the headers of a response or
// probe. It is not gateway/exchange.ResponseInfo, which tells whether a response
// belongs to its request: here the connection carries one request at a time and
// is not used again after one that broke off.
type Status struct {
	// Incarnation is one life of the upstream's process.
	Incarnation string
	// Leaving means that it asks for no new requests.
	Leaving bool
	// Load is its own view of its load, 0 to 1; negative if it reports none.
	Load float64
}

// Target is the upstream of a request.
type Target struct {
	Name string
	Zone string
	// Addr is "address:port".
	Addr string
}

// Done is called exactly once, when a request's slot is free again: the
// upstream has responded in full, has refused, or is no longer busy with the
// request. latency runs from Send.
type Done func(outcome slot.Outcome, latency time.Duration)

// Client sends requests to the upstreams of one zone.
type Client struct {
	transport *http.Transport
	// observe is called with the status in each response's headers.
	observe func(name string, s Status)
}

// New makes a client. A nil dial is TCP; onStatus may be nil.
func New(dial DialFunc, onStatus func(name string, s Status)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if onStatus == nil {
		onStatus = func(string, Status) {}
	}
	c := &Client{observe: onStatus}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: nc}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           0, // no limit over all upstreams
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends a request once and returns the response's header with its body
// still to be read. Its error is a *verdict.Error: NotRun when no byte was
// written or the upstream itself refused, else MayHaveRun. done is called once
// in every case.
func (c *Client) Send(ctx context.Context, t Target, req *call.Request, done Done) (*call.Response, error) {
	a := &attempt{target: t, began: time.Now(), done: done}
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
	c.observe(t.Name, parseStatus(resp.Header))
	if isRefusal(resp) {
		defer cancel()
		return nil, a.refused(resp)
	}
	return a.response(resp, cancel), nil
}

// newRequest makes the HTTP request for an upstream.
func newRequest(ctx context.Context, t Target, req *call.Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(req.Target)
	if err != nil {
		return nil, eris.Wrap(err, "parse target")
	}
	u.Scheme, u.Host = "http", t.Addr
	out := (&http.Request{
		Method: req.Method, URL: u, Host: t.Addr, Header: req.Header.Clone(),
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(req.Body)),
		// A Body without GetBody keeps the Transport from sending the
		// request a second time by itself.
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

// isRefusal reports whether the upstream states that it did not run the
// request: by 503 and its own header. A bare 503 may come after a run.
func isRefusal(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(call.HeaderShed) == verdict.NotRun.String()
}

// parseStatus reads an upstream's status. A load that is no number counts as
// not reported.
func parseStatus(h http.Header) Status {
	s := Status{Incarnation: h.Get(call.HeaderInstance), Leaving: h.Get(call.HeaderState) == call.StateLeaving, Load: -1}
	if load, err := strconv.ParseFloat(h.Get(call.HeaderLoad), 64); err == nil {
		s.Load = load
	}
	return s
}

// Probe requests an upstream's status from its health path. Its HTTP status
// does not count, and the report may be late or wrong.
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
	// The body is read only so that the connection can be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeaderBytes))
	return parseStatus(resp.Header), nil
}
