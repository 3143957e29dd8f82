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

// reservedPrefix is the prefix of the headers that only hosts may set. Such
// headers are removed from forwarded requests and responses.
const reservedPrefix = "Cairndock-"

// readRequest reads and checks a client's request. The request's timeout starts
// at start. Every error has the verdict not-run.
func (h *handler) readRequest(c echo.Context, start time.Time) (*call.Request, error) {
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
	deadline := start.Add(timeout)
	ticketText := r.Header.Get(call.HeaderTicket)
	if ticketText != "" {
		if _, err := ticket.Parse(ticketText); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
		}
	}
	body, err := h.readBody(c, deadline)
	if err != nil {
		return nil, err
	}
	return &call.Request{
		Service: name, Method: r.Method, Target: upstreamTarget(r, name), Header: forwardedHeader(r.Header),
		Body: body, Deadline: deadline, Ticket: ticketText,
	}, nil
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

// readBody reads the whole body within callers.max_body and the deadline. If the
// body is not read to its end, the connection is closed, because the start of
// the next request on it is unknown.
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
