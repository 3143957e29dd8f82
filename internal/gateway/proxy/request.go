package proxy

import (
	"net"
	"net/http"
	"time"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/httpheader"
	"cairndock/internal/requestbody"
	"cairndock/internal/verdict"
)

// maxBodyBytes limits the body of a request if the configuration sets no limit, because the body is
// kept in memory. It is the limit that the known platforms set.
const maxBodyBytes = 64 << 20

// headerLineOverhead is the size of a header line without name and value, in bytes:
// colon, space and line break.
const headerLineOverhead = 4

// prepare finds the route and the client account of a request, checks its size and reads
// its body. When prepare fails, the request has not been sent to any upstream.
//
// The order of the checks decides which error is returned when several apply. The first
// checks are the cheapest, and a retry would not help with their errors: 404, 401 and
// 431. Next is the account's limit, 429, so that a refused request is not read. The body
// comes last: 413 or 408.
func (f *inflight) prepare(w http.ResponseWriter, r *http.Request) error {
	if err := f.matchRoute(r.Host, r.URL.Path); err != nil {
		return err
	}
	if err := f.authenticate(); err != nil {
		return err
	}
	limits := f.config.Limits
	if limits.HeaderBytes > 0 && headerSize(r) > limits.HeaderBytes {
		return verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "header exceeds %d bytes", limits.HeaderBytes)
	}
	if err := f.takeToken(); err != nil {
		return err
	}
	var body [][]byte
	if hasBody(r) {
		if err := f.readBody(w, r, limits.BodyBytes); err != nil {
			return err
		}
		body = f.body.Segments
	}
	f.request = upstreamRequest(f.info.ID, r, body)
	if f.config.Accounts != nil {
		f.proxy.Codec.SetAccount(f.request.Header, f.accountName())
	}
	return nil
}

// matchRoute finds the route by host and path. If the route is split among several
// services, the request ID selects the service.
func (f *inflight) matchRoute(host, path string) error {
	if !f.proxy.canServe() {
		return verdict.New(verdict.NotRun, verdict.NotReady, "the configuration, the upstreams or the quarantined requests are not available yet")
	}
	f.config = f.proxy.State.Config()
	route, ok := f.config.Match(hostname(host), path)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.UnknownRoute, "no route for %s%s", host, path)
	}
	f.route, f.service = route, route.Pick(f.info.ID)
	return nil
}

// upstreamRequest returns the request that upstreams receive: the client's request
// without its hop-by-hop headers.
func upstreamRequest(id string, r *http.Request, body [][]byte) *exchange.Request {
	header := httpheader.EndToEnd(r.Header)
	header.Del("Content-Length") // set for each attempt from the body
	return &exchange.Request{ID: id, Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Header: header, Body: body}
}

// hostname returns the host of a host:port pair, such as the value of a Host header.
func hostname(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport // there is no port
}

// headerSize returns the size of the request target and the header lines, in bytes.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return n
}

// readBody reads the whole request body before the deadline. limit is in bytes; zero
// selects maxBodyBytes. When part of the body is left unread, the connection is closed, because
// that part would precede the next request.
func (f *inflight) readBody(w http.ResponseWriter, r *http.Request, limit int64) error {
	if limit <= 0 {
		limit = maxBodyBytes
	}
	controller := http.NewResponseController(w)
	// An error means that the connection is closed, which the read below reports.
	_ = controller.SetReadDeadline(f.deadline())
	source := requestbody.Source{Reader: r.Body, Length: r.ContentLength, Limit: limit}
	source.Interrupt = func() { _ = controller.SetReadDeadline(time.Now()) } // fails only on a closed connection
	var err error
	if f.body, err = f.proxy.Bodies.Read(source); err != nil {
		closeAfterResponse(w)
		return requestBodyError(err, limit)
	}
	// An error means that the connection is closed. Then there is no next request that
	// the old deadline could interrupt.
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// hasBody reports whether a request has a body, which may be empty.
func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }
