// Package caller serves the HTTP API for clients: the hosts to use
// (/v1/entries), tickets (/v1/tickets) and the requests themselves
// (/s/SERVICE/...). It reads and checks a request, passes it to the Host and
// writes the upstream's response, or its own error as RFC 9457 problem details.
// It keeps no state. Package entry decides where a request goes.
//
// In settings, metrics and headers a client is named caller.
package caller

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/httpserver"
	"cairndock/internal/requestbody"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/server/abort"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/ticket"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

const (
	// defaultMaxBody is the default of callers.max_body, in bytes.
	defaultMaxBody = 256 << 10
	// maxBodyLimit is the upper bound of callers.max_body, in bytes. A request
	// is sent between hosts with its headers in one frame, which is limited to
	// 1 MB (package peer).
	maxBodyLimit = 768 << 10
	// defaultMaxHeader is the default of callers.max_header, in bytes.
	defaultMaxHeader = 16 << 10
	// defaultTTL is the default of callers.ttl: how long clients may cache
	// /v1/entries.
	defaultTTL = 5 * time.Second
	// headerFactor is the ratio of the HTTP server's header limit to
	// callers.max_header. The server's limit is higher so that requests above
	// callers.max_header are rejected with a verdict, by this package or before
	// the header is complete by package httpserver, instead of the server's own
	// 431 response, which has none.
	headerFactor = 8
	// headerTimeout limits reading a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes a client's connection that has no request in flight.
	idleTimeout = 2 * time.Minute
)

// Host serves the requests that this package has read and checked.
type Host interface {
	// Serving reports whether the host has ever had a configuration that was
	// confirmed to be the newest. A host that is leaving still serves.
	Serving() bool
	// View returns the configuration in force.
	View() *config.View
	// InFlight counts a request as in flight until the returned function is
	// called.
	InFlight() func()
	// Do forwards a request and returns the response. Its error is a
	// *verdict.Error.
	Do(ctx context.Context, req *call.Request) (*call.Response, error)
	// EntriesFor returns, as JSON, the hosts that a client at the given address
	// should use for a service.
	EntriesFor(service string, client netip.Addr) ([]byte, error)
	// IssueTicket issues a ticket for a request to a service.
	IssueTicket(service string) (ticket.Ticket, error)
}

// Default applies the defaults of the section [callers] of the settings.
func Default(s *servesettings.Callers) {
	s.MaxBody = cmp.Or(s.MaxBody, defaultMaxBody)
	s.MaxHeader = cmp.Or(s.MaxHeader, defaultMaxHeader)
	s.TTL = cmp.Or(s.TTL, settings.Duration(defaultTTL))
}

// Check adds the faults of the section [callers] of the settings to f.
func Check(s servesettings.Callers, f *settings.Faults) {
	f.Require(s.Listen != "", "callers.listen", "must be set")
	f.Require(s.MaxBody > 0 && s.MaxBody <= maxBodyLimit, "callers.max_body", "must be from 1 to "+strconv.Itoa(maxBodyLimit))
	f.Require(s.MaxHeader > 0, "callers.max_header", "must be above 0")
	f.Require(s.TTL > 0, "callers.ttl", "must be above 0")
}

// handler serves clients' requests.
type handler struct {
	settings servesettings.Callers
	host     Host
	tracer   trace.Tracer
	metrics  *telemetry.Metrics
	// bodies holds the bodies of requests.
	bodies *requestbody.Buffers
}

// New returns a server that does not listen yet. If the server aborts a request,
// the client gets an error response whose verdict states whether the request is
// known not to have run.
//
// bodies holds the bodies of requests. The options have the bounds that the server shares with
// others.
func New(s servesettings.Callers, host Host, tp trace.TracerProvider, m *telemetry.Metrics, bodies *requestbody.Buffers, o httpserver.Options) *abort.Server {
	h := &handler{settings: s, host: host, tracer: telemetry.Tracer(tp), metrics: m, bodies: bodies}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = h.rejectUnrouted
	e.GET("/v1/entries", h.entries)
	e.POST("/v1/tickets", h.tickets)
	e.Any("/s/:service", h.forward)
	e.Any("/s/:service/*", h.forward)
	o.HTTP = &http.Server{Handler: e, MaxHeaderBytes: s.MaxHeader * headerFactor}
	o.Limits = func() httpserver.Limits {
		return httpserver.Limits{Header: headerTimeout, Idle: idleTimeout, HeaderBytes: s.MaxHeader}
	}
	return abort.New(o)
}

// rejectUnrouted writes the response to a request that matches no route.
func (h *handler) rejectUnrouted(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
	}
	e := verdict.New(verdict.NotRun, verdict.BadRequest, "no such path or method: %s %s", c.Request().Method, c.Request().URL.Path)
	writeProblem(c.Response(), e, status)
}

// reject writes the error response to a request that was declined or failed.
func (h *handler) reject(c echo.Context, err error) error {
	e := verdict.From(err)
	if e.Reason == verdict.Stopping || abort.Aborted(c.Request().Context()) && e.Reason == verdict.Interrupted {
		abort.Cut(c.Response())
	}
	h.metrics.Count(`cairndock_refusals_total{reason="` + string(e.Reason) + `",verdict="` + e.Verdict.String() + `"}`)
	writeProblem(c.Response(), e, e.Reason.Status())
	return nil
}

func (h *handler) entries(c echo.Context) error {
	body, err := h.host.EntriesFor(c.QueryParam("service"), h.clientAddr(c.Request()))
	if err != nil {
		return h.reject(c, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
}

func (h *handler) tickets(c echo.Context) error {
	if !h.host.Serving() {
		return h.reject(c, notReady())
	}
	t, err := h.host.IssueTicket(c.QueryParam("service"))
	if err != nil {
		return h.reject(c, err)
	}
	return c.JSON(http.StatusOK, struct {
		Ticket    string    `json:"ticket"`
		ExpiresAt time.Time `json:"expires_at"`
	}{t.String(), time.Unix(t.Expiry, 0).UTC()})
}

func (h *handler) forward(c echo.Context) error {
	start := time.Now()
	done := h.host.InFlight()
	defer done()
	r := c.Request()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.tracer.Start(ctx, "caller")
	defer span.End()
	req, body, err := h.readRequest(c, start)
	if err != nil {
		return h.reject(c, err)
	}
	defer body.Release()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	resp, err := h.host.Do(ctx, req)
	if err != nil {
		return h.reject(c, abortError(ctx, err))
	}
	defer resp.Body.Close()
	h.metrics.Observe(`cairndock_request_seconds{service="`+req.Service+`"}`, time.Since(start).Seconds())
	h.writeResponse(c.Response(), resp)
	return nil
}
