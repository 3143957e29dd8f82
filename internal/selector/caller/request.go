package caller

import (
	"errors"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"cairndock/internal/httpheader"
	"cairndock/internal/requestbody"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/server/abort"
	"cairndock/internal/selector/ticket"
	"cairndock/internal/verdict"
)

// reservedPrefix is the prefix of the headers that only hosts may set. Such
// headers are removed from forwarded requests and responses.
const reservedPrefix = "Cairndock-"

// readRequest reads and checks a client's request. The request's timeout starts
// at start. Every error has the verdict not-run. The caller releases the body, which is nil if
// the request has none.
func (h *handler) readRequest(c echo.Context, start time.Time) (*call.Request, *requestbody.Body, error) {
	r := c.Request()
	name := c.Param("service")
	if !h.host.Serving() {
		return nil, nil, notReady()
	}
	svc, ok := h.host.View().Service(name)
	if !ok {
		return nil, nil, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", name)
	}
	if headerSize(r.Header) > h.settings.MaxHeader {
		return nil, nil, verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "headers are above %d bytes", h.settings.MaxHeader)
	}
	timeout, err := requestTimeout(r.Header.Get(call.HeaderTimeout), svc)
	if err != nil {
		return nil, nil, err
	}
	deadline := start.Add(timeout)
	ticketText := r.Header.Get(call.HeaderTicket)
	if ticketText != "" {
		if _, err := ticket.Parse(ticketText); err != nil {
			return nil, nil, verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
		}
	}
	body, err := h.readBody(c, deadline)
	if err != nil {
		return nil, nil, err
	}
	req := &call.Request{
		Service: name, Method: r.Method, Target: upstreamTarget(r, name), Header: forwardedHeader(r.Header),
		Deadline: deadline, Ticket: ticketText,
	}
	if body != nil {
		req.Body = body.Bytes()
	}
	return req, body, nil
}

// headerSize returns the size of the names and values, in bytes. A name is
// counted once for each of its values.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// requestTimeout returns the timeout of a request: the duration in the header,
// limited to the service's max_timeout, or the service's timeout if there is no
// header.
func requestTimeout(header string, svc *config.ServiceView) (time.Duration, error) {
	if header == "" {
		return time.Duration(svc.Timeout), nil
	}
	d, err := time.ParseDuration(header)
	if err != nil || d <= 0 {
		return 0, verdict.New(verdict.NotRun, verdict.BadTimeout, "%s: %q is no duration above 0", call.HeaderTimeout, header)
	}
	return min(d, time.Duration(svc.MaxTimeout)), nil
}

// readBody reads the whole body within callers.max_body, the memory for bodies and the
// deadline; it is nil if the request has none. If the body is not read to its end, the
// connection is closed, because the start of the next request on it is unknown.
func (h *handler) readBody(c echo.Context, deadline time.Time) (*requestbody.Body, error) {
	r := c.Request()
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(c.Response())
	// Setting a deadline fails only on a closed connection, which the read
	// below reports.
	_ = control.SetReadDeadline(deadline)
	stop := abort.EndReads(c.Response(), r)
	defer stop()
	source := requestbody.Source{Reader: r.Body, Length: r.ContentLength, Limit: h.settings.MaxBody}
	source.Interrupt = func() { _ = control.SetReadDeadline(time.Now()) }
	body, err := h.bodies.Read(source)
	if err != nil {
		c.Response().Header().Set("Connection", "close")
		return nil, h.bodyError(r, err)
	}
	if stop() {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, nil
}

// bodyError returns the error of a body that was not read.
func (h *handler) bodyError(r *http.Request, err error) *verdict.Error {
	switch {
	case errors.Is(err, requestbody.ErrTooLarge):
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "body is above %d bytes", h.settings.MaxBody)
	case errors.Is(err, requestbody.ErrFull):
		return verdict.New(verdict.NotRun, verdict.BodiesFull, "the bodies of the requests in flight leave no memory for the body").WithRetryAfter(refusalRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded) && abort.Aborted(r.Context()):
		return stopped(verdict.NotRun).WithRetryAfter(refusalRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.BodyStalled, "body did not arrive in time")
	}
	return verdict.New(verdict.NotRun, verdict.BadRequest, "body broke off")
}

// upstreamTarget returns the path and query after the service's prefix, in the
// client's encoding.
func upstreamTarget(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+service)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forwardedHeader returns the headers to send to the upstream: the end-to-end
// headers without those that only hosts may set.
func forwardedHeader(h http.Header) http.Header {
	out := httpheader.EndToEnd(h)
	for name := range out {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(out, name)
		}
	}
	out.Del("Content-Length")
	return out
}

// clientAddr returns the client's address: the first address in X-Forwarded-For
// if the settings trust that header and the address can be parsed, otherwise
// the address of the connection. An unknown address is returned as 0.0.0.0,
// which only a block of all addresses contains.
func (h *handler) clientAddr(r *http.Request) netip.Addr {
	if h.settings.TrustForwarded {
		first, _, _ := strings.Cut(r.Header.Get("X-Forwarded-For"), ",")
		if addr, err := netip.ParseAddr(strings.TrimSpace(first)); err == nil {
			return addr
		}
	}
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.IPv4Unspecified()
	}
	return ap.Addr()
}
