package caller

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"cairndock/internal/httpheader"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/server/abort"
	"cairndock/internal/selector/ticket"
	"cairndock/internal/verdict"
)

// reservedPrefix starts the headers that only hosts may set: they are removed
// from requests and responses that pass.
const reservedPrefix = "Cairndock-"

// readRequest reads and checks a client's request that began at a time. A
// request with a fault was not run, whatever the fault.
func (h *handler) readRequest(c echo.Context, began time.Time) (*call.Request, error) {
	r := c.Request()
	name := c.Param("service")
	if !h.host.Serving() {
		return nil, notReady()
	}
	svc, ok := h.host.View().Service(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", name)
	}
	if headerSize(r.Header) > h.settings.MaxHeader {
		return nil, verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "headers are above %d bytes", h.settings.MaxHeader)
	}
	timeout, err := requestTimeout(r.Header.Get(call.HeaderTimeout), svc)
	if err != nil {
		return nil, err
	}
	deadline := began.Add(timeout)
	text := r.Header.Get(call.HeaderTicket)
	if text != "" {
		if _, err := ticket.Parse(text); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
		}
	}
	body, err := h.readBody(c, deadline)
	if err != nil {
		return nil, err
	}
	return &call.Request{
		Service: name, Method: r.Method, Target: upstreamTarget(r, name), Header: forwardedHeader(r.Header),
		Body: body, Deadline: deadline, Ticket: text,
	}, nil
}

// headerSize is the size of the names and values in bytes, each name counted
// with each of its values.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// requestTimeout is the rule for a request's time: the header's duration, at
// most the service's max_timeout; without the header the service's timeout.
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

// readBody reads the whole body within its limit and the deadline. A body that
// is not read to its end closes the connection, as the next request on it could
// not be found.
func (h *handler) readBody(c echo.Context, deadline time.Time) ([]byte, error) {
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
	body, err := io.ReadAll(io.LimitReader(r.Body, h.settings.MaxBody+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.Response().Header().Set("Connection", "close")
		if abort.Aborted(r.Context()) {
			return nil, stopped(verdict.NotRun).WithRetryAfter(refusalRetryAfter)
		}
		return nil, verdict.New(verdict.NotRun, verdict.BodyStalled, "body did not arrive in time")
	}
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "body broke off")
	}
	if int64(len(body)) > h.settings.MaxBody {
		c.Response().Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.BodyTooLarge, "body is above %d bytes", h.settings.MaxBody)
	}
	if stop() {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, nil
}

// upstreamTarget is the path and query after the service's prefix, as the
// client encoded them.
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
// ones without those reserved for hosts.
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

// clientAddr is the client's address: the first one in X-Forwarded-For if the
// settings trust it and it can be parsed, else that of the connection. An
// unknown one is 0.0.0.0, which only a block of all addresses contains.
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
