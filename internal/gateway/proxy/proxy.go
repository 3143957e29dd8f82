// Package gateway serves callers by routes: it takes a request, decides which
// upstream it goes to, and passes on that upstream's answer or its own final
// word, with proof of whether the request may have run.
package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/call"
	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// Call is what a request's header says in the product's words.
type RequestInfo struct {
	// ID is the caller's id of the request.
	ID string
	// Key is what the request is about, or empty.
	Key string
	// Patience is how long the caller waits; zero is not told.
	Timeout time.Duration
}

// Codec knows how callers and the gateway speak to each other.
type Codec interface {
	// Read takes what a request's header says.
	ParseRequest(h http.Header) RequestInfo
	// Refuse writes the gateway's own final word.
	WriteError(w http.ResponseWriter, c RequestInfo, e *verdict.Error)
}

// Hosts tells of the other hosts.
type Hosts interface {
	// Hosts is how many hosts are known, this one included.
	Hosts() int
}

// Ages tell how long ago the sources of what the host knows last answered.
type Ages struct {
	Config    func() time.Duration
	Upstreams func() time.Duration
}

// Options is what a gateway is made of.
type Options struct {
	State    *routing.State
	Balancer *balance.Balancer
	Detector *outlier.Detector
	Budget   *retry.Budget
	Client   *exchange.Client
	Codec    Codec
	Hosts    Hosts
	Ages     Ages
	Log      *eventlog.Log
	Metrics  *telemetry.Metrics
	// Tracer makes a span for each request and each attempt.
	Tracer trace.Tracer
}

// Gateway serves requests.
type Proxy struct {
	Options

	inFlight atomic.Int64
	draining atomic.Bool
	// ending is over when what is still being served must be given up.
	aborted context.Context
	abort   context.CancelFunc
}

// New makes a gateway.
func New(o Options) *Proxy {
	g := &Proxy{Options: o}
	g.aborted, g.abort = context.WithCancel(context.Background())
	return g
}

// Ready reports whether callers should come.
func (g *Proxy) Ready() bool { return !g.draining.Load() && g.State.Ready() }

// Leave says that the host is about to stop: callers are asked to go
// elsewhere with each answer.
func (g *Proxy) Drain() { g.draining.Store(true) }

// GiveUp gives up what is still being served: each caller gets a final answer
// that says whether its request may have run.
func (g *Proxy) Abort() { g.abort() }

// InFlight is how many requests are being served.
func (g *Proxy) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP serves one request.
func (g *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := g.Codec.ParseRequest(r.Header)
	traced, span := g.startRequest(r, c)
	var err error
	defer func() { endSpan(span, err) }()
	d, err := g.prepare(w, r, c, began)
	if err != nil {
		g.refuse(w, c, d, err)
		return
	}
	ctx, cancel := d.context(traced)
	defer cancel()
	answer, err := d.run(ctx)
	if err != nil {
		g.refuse(w, c, d, err)
		return
	}
	g.forward(w, d, answer)
}

// prepare finds the route and reads the request. Whatever is wrong with it,
// it was not run.
func (g *Proxy) prepare(w http.ResponseWriter, r *http.Request, c RequestInfo, began time.Time) (*inflight, error) {
	d := &inflight{proxy: g, info: c, began: began}
	table := g.State.Table()
	if table == nil || !g.State.Ready() {
		return d, verdict.New(verdict.NotRun, verdict.NotReady, "no configuration is known yet").WithRetryAfter(notReadyPause)
	}
	d.table = table
	route, ok := table.Match(hostOf(r.Host), r.URL.Path)
	if !ok {
		return d, verdict.New(verdict.NotRun, verdict.UnknownRoute, "no route for %s%s", r.Host, r.URL.Path)
	}
	d.route, d.service = route, route.Pick(c.ID)
	if limit := table.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return d, verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "header is above %d bytes", limit)
	}
	body, err := readBody(w, r, table.Limits.BodyBytes, d.deadline())
	if err != nil {
		return d, err
	}
	d.request = &exchange.Request{
		ID: c.ID, Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host,
		Header: call.EndToEnd(r.Header), Body: body,
	}
	d.request.Header.Del("Content-Length")
	return d, nil
}

// notReadyPause is when a caller comes back to a host that has just started.
const notReadyPause = 200 * time.Millisecond

func hostOf(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport
}

func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// readBody reads a request's whole body within its limit and deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = 1 << 40
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.BodyStalled, "body did not come in time")
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "body broke off")
	case int64(len(body)) > limit:
		w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.BodyTooLarge, "body is above %d bytes", limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// refuse gives the gateway's own final word.
func (g *Proxy) refuse(w http.ResponseWriter, c RequestInfo, d *inflight, err error) {
	e := verdict.From(err)
	g.Metrics.Count(`cairndock_refusals_total{reason="` + string(e.Reason) + `",verdict="` + e.Verdict.String() + `"}`)
	g.Codec.WriteError(w, c, e)
	d.logFinal(e.Reason.Status(), e)
}

// pass passes an upstream's answer on. One that breaks off breaks the
// caller's connection, so that it can't look whole.
func (g *Proxy) forward(w http.ResponseWriter, d *inflight, a *response) {
	defer a.close()
	h := w.Header()
	closing := h.Get("Connection")
	for name, values := range call.EndToEnd(a.header) {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if !isHead(d.request.Method) {
		a.setLength(h)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // nothing is guessed from the body
	}
	w.WriteHeader(a.status)
	err := a.copyTo(w)
	g.Metrics.Observe(`cairndock_request_seconds{service="`+d.service+`"}`, time.Since(d.began).Seconds())
	if err != nil {
		g.Metrics.Count("cairndock_answers_broken_total")
		d.logFinal(a.status, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "%v", err))
		panic(http.ErrAbortHandler)
	}
	d.logFinal(a.status, nil)
}

// forget drops what is kept of upstreams that are gone.
func (g *Proxy) retainKnown() {
	set := g.State.Set()
	known := func(id string) bool {
		_, ok := set.Get(id)
		return ok
	}
	g.Balancer.Retain(known)
	g.Detector.Retain(known)
	g.Client.Pool().Retain(known)
}

// forgetEvery is the pace at which what is kept of gone upstreams is dropped.
const retainEvery = 2 * time.Second

// Run tidies up until the context ends.
func (g *Proxy) Run(ctx context.Context) {
	ticker := time.NewTicker(retainEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.retainKnown()
		}
	}
}

func isHead(method string) bool { return strings.EqualFold(method, http.MethodHead) }
