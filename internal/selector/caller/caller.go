// Package caller serves callers over HTTP: which hosts to use, tickets, and
// the requests themselves.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/ticket"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

const (
	defaultMaxBody   = 256 << 10
	largestMaxBody   = 768 << 10 // a request travels in one frame
	defaultMaxHeader = 16 << 10
	defaultTTL       = 5 * time.Second
	// headerFactor lets the HTTP server read headers that are over the
	// limit, so that their refusal carries a verdict.
	headerFactor      = 8
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	copyBuffer        = 32 << 10
	ownHeaders        = "Cairndock-"
)

// Host is what serves the requests.
type Host interface {
	// Serving reports whether the host ever had a configuration that was
	// known to be the newest; one that leaves still serves.
	Serving() bool
	View() *config.View
	InFlight() func()
	Do(ctx context.Context, req *call.Request) (*call.Answer, error)
	EntriesFor(service string, caller netip.Addr) ([]byte, error)
	MintTicket(service string) (ticket.Ticket, error)
}

// Default fills the section's defaults.
func Default(s *settings.Callers) {
	s.MaxBody = settings.Default(s.MaxBody, defaultMaxBody)
	s.MaxHeader = settings.Default(s.MaxHeader, defaultMaxHeader)
	s.TTL = settings.Default(s.TTL, settings.Seconds(defaultTTL))
}

// Check notes the section's faults.
func Check(s settings.Callers, f *settings.Faults) {
	f.Require(s.Listen != "", "callers.listen", "must be set")
	f.Require(s.MaxBody > 0 && s.MaxBody <= largestMaxBody, "callers.max_body", "must be from 1 to "+strconv.Itoa(largestMaxBody))
	f.Require(s.MaxHeader > 0, "callers.max_header", "must be above 0")
	f.Require(s.TTL > 0, "callers.ttl", "must be above 0")
}

// Server serves callers.
type Server struct {
	settings settings.Callers
	host     Host
	log      zerolog.Logger
	tracer   trace.Tracer
	metrics  *telemetry.Metrics
	http     *http.Server
}

// New makes a server.
func New(s settings.Callers, h Host, log zerolog.Logger, tp trace.TracerProvider, m *telemetry.Metrics) *Server {
	srv := &Server{settings: s, host: h, log: log, tracer: telemetry.Tracer(tp), metrics: m}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = srv.notFound
	e.GET("/v1/entries", srv.entries)
	e.POST("/v1/tickets", srv.tickets)
	e.Any("/s/:service", srv.forward)
	e.Any("/s/:service/*", srv.forward)
	srv.http = &http.Server{
		Handler: e, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: s.MaxHeader * headerFactor,
	}
	return srv
}

// Serve serves a listener until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops taking connections and waits for requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close breaks all connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) notFound(err error, c echo.Context) {
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

// problem is the body of an answer of this system's own (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Verdict string `json:"verdict"`
}

func writeProblem(w http.ResponseWriter, e *verdict.Error, status int) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(verdict.Header, e.Verdict.String())
	if e.Upstream != "" {
		h.Set(call.HeaderUpstream, e.Upstream)
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Type: "urn:cairndock:" + string(e.Reason), Title: string(e.Reason),
		Status: status, Detail: e.Detail, Verdict: e.Verdict.String(),
	})
}

func (s *Server) fail(c echo.Context, err error) error {
	e := verdict.From(err)
	s.metrics.Count(`cairndock_refusals_total{reason="` + string(e.Reason) + `",verdict="` + e.Verdict.String() + `"}`)
	writeProblem(c.Response(), e, e.Reason.Status())
	return nil
}

func (s *Server) entries(c echo.Context) error {
	body, err := s.host.EntriesFor(c.QueryParam("service"), s.callerAddr(c.Request()))
	if err != nil {
		return s.fail(c, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
}

func (s *Server) callerAddr(r *http.Request) netip.Addr {
	if s.settings.TrustForwarded {
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

func (s *Server) tickets(c echo.Context) error {
	if !s.host.Serving() {
		return s.fail(c, notReady())
	}
	t, err := s.host.MintTicket(c.QueryParam("service"))
	if err != nil {
		return s.fail(c, err)
	}
	return c.JSON(http.StatusOK, struct {
		Ticket    string    `json:"ticket"`
		ExpiresAt time.Time `json:"expires_at"`
	}{t.String(), time.Unix(t.Expiry, 0).UTC()})
}

func notReady() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NotReady, "host is not ready").WithRetryAfter(time.Second)
}

func (s *Server) forward(c echo.Context) error {
	began := time.Now()
	done := s.host.InFlight()
	defer done()
	r := c.Request()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "caller")
	defer span.End()
	req, err := s.request(c, began)
	if err != nil {
		return s.fail(c, err)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer, err := s.host.Do(ctx, req)
	if err != nil {
		return s.fail(c, err)
	}
	defer answer.Body.Close()
	s.metrics.Observe(`cairndock_request_seconds{service="`+req.Service+`"}`, time.Since(began).Seconds())
	s.write(c, answer)
	return nil
}

// request reads and checks a caller's request. Whatever is wrong with it, it
// was not run.
func (s *Server) request(c echo.Context, began time.Time) (*call.Request, error) {
	r := c.Request()
	name := c.Param("service")
	if !s.host.Serving() {
		return nil, notReady()
	}
	svc, ok := s.host.View().Service(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", name)
	}
	if headerSize(r.Header) > s.settings.MaxHeader {
		return nil, verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "headers are above %d bytes", s.settings.MaxHeader)
	}
	timeout, err := timeoutOf(r, svc)
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
	body, err := s.readBody(c, deadline)
	if err != nil {
		return nil, err
	}
	return &call.Request{
		Service: name, Method: r.Method, Target: targetOf(r, name), Header: cleanHeader(r.Header),
		Body: body, Deadline: deadline, Ticket: text,
	}, nil
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func timeoutOf(r *http.Request, svc *config.ServiceView) (time.Duration, error) {
	text := r.Header.Get(call.HeaderTimeout)
	if text == "" {
		return time.Duration(svc.Timeout), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, verdict.New(verdict.NotRun, verdict.BadTimeout, "%s: %q is no duration above 0", call.HeaderTimeout, text)
	}
	return min(d, time.Duration(svc.MaxTimeout)), nil
}

// readBody reads the whole body within its limit and the deadline.
func (s *Server) readBody(c echo.Context, deadline time.Time) ([]byte, error) {
	r := c.Request()
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(deadline)
	body, err := io.ReadAll(io.LimitReader(r.Body, s.settings.MaxBody+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.Response().Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.BodyStalled, "body did not come in time")
	}
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "body broke off")
	}
	if int64(len(body)) > s.settings.MaxBody {
		c.Response().Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.BodyTooLarge, "body is above %d bytes", s.settings.MaxBody)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// targetOf gives the path and query behind the service's prefix.
func targetOf(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+service)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// cleanHeader drops what holds for one hop and this system's own headers.
func cleanHeader(h http.Header) http.Header {
	out := call.EndToEnd(h)
	for name := range out {
		if strings.HasPrefix(name, ownHeaders) {
			delete(out, name)
		}
	}
	out.Del("Content-Length")
	return out
}

// write passes an answer on. One that breaks off breaks the connection, so
// that it can't look whole.
func (s *Server) write(c echo.Context, a *call.Answer) {
	w := c.Response()
	for name, values := range a.Header {
		if !strings.HasPrefix(name, ownHeaders) {
			w.Header()[name] = values
		}
	}
	w.Header().Set(call.HeaderUpstream, a.Upstream)
	w.WriteHeader(a.Status)
	if err := copyBody(w, a); err != nil {
		s.metrics.Count("cairndock_answers_broken_total")
		panic(http.ErrAbortHandler)
	}
}

// buffers are used again from answer to answer.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

func copyBody(w *echo.Response, a *call.Answer) error {
	pooled := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if a.Length < 0 {
				w.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
