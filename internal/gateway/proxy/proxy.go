package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/pause"
	"cairndock/internal/poison"
	"cairndock/internal/suspend"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// RequestInfo is what a request's header says in the product's terms.
type RequestInfo struct {
	// ID is the client's id of the request.
	ID string
	// Key names the object that the request is about; it may be empty.
	Key string
	// Credential tells who sends the request; empty when it carries none.
	Credential string
	// Credentials is how many the request carries: with several it is not clear who
	// sends it.
	Credentials int
	// Timeout is how long the client waits; zero when it does not say.
	Timeout time.Duration
}

// Codec reads and writes the headers that clients and the gateway exchange.
type Codec interface {
	// ParseRequest reads a request's header.
	ParseRequest(h http.Header) RequestInfo
	// SetAccount replaces the credential in the header of a request to an upstream by
	// the name of the client account; by nothing if that is empty.
	SetAccount(h http.Header, name string)
	// WriteError writes a whole error response of the gateway's own, and
	// returns its status.
	WriteError(w http.ResponseWriter, info RequestInfo, e *verdict.Error) int
}

// Options are the parts of a Proxy. All are required.
type Options struct {
	// State has the configuration and the upstreams.
	State *routing.State
	// Balancer chooses an upstream for each attempt.
	Balancer *balance.Balancer
	// Detector judges upstreams by how attempts end.
	Detector *outlier.Detector
	// Budget bounds the requests sent more than once.
	Budget *retry.Budget
	// Suspicions find requests that end the upstreams that run them.
	Suspicions *poison.Table
	// SuspendWatch finds that the machine was suspended.
	SuspendWatch *suspend.Watch
	// Notices are what upstreams say of themselves.
	Notices *notice.Table
	// Client sends attempts to upstreams.
	Client *exchange.Client
	// Codec reads requests' headers and writes error responses.
	Codec Codec
	// KnowsQuarantines reports whether the host has heard which requests are quarantined: it
	// serves none before.
	KnowsQuarantines func() bool
	// SlackPart gives this host's part of the retry budget's slack, from 0 to 1; zero
	// while it does not know who shares that.
	SlackPart func() float64
	// Quota keeps the limits of client accounts.
	Quota *quota.Limiter
	// MaxKeyAge is the age of the operator configuration up to which keys are accepted;
	// zero is any, so that a host which hears nothing serves on by the keys it knows.
	MaxKeyAge time.Duration
	// ConfigAge gives how long ago a source last confirmed the operator
	// configuration, and UpstreamsAge the upstreams. Both are logged.
	ConfigAge, UpstreamsAge func() time.Duration
	// Log is the decision log.
	Log *eventlog.Log
	// Metrics counts refusals and failures, and the time of requests.
	Metrics *telemetry.Metrics
	// Tracer makes a span for each request and each attempt.
	Tracer trace.Tracer
}

// Proxy is an http.Handler that serves clients' requests.
type Proxy struct {
	Options

	inFlight atomic.Int64
	arrivals arrivals
	leaving  atomic.Bool
	// starved is set while no client's connection can be accepted.
	starved atomic.Bool
	// aborted ends when the requests in flight are given up. Each client then
	// gets an error response that says whether its request may have run.
	aborted context.Context
	abort   context.CancelFunc
}

// New makes a proxy.
func New(o Options) *Proxy {
	p := &Proxy{Options: o}
	p.aborted, p.abort = context.WithCancel(context.Background())
	return p
}

// Ready reports whether clients should use this host: it is not stopping, can
// accept connections and knows a configuration.
func (p *Proxy) Ready() bool { return !p.leaving.Load() && !p.starved.Load() && p.serves() }

// serves reports whether the host knows what it must know to serve a request.
func (p *Proxy) serves() bool { return p.State.Ready() && p.KnowsQuarantines() }

// noteAccepting follows whether clients' connections can be accepted.
func (p *Proxy) noteAccepting(err error) {
	p.starved.Store(err != nil)
	if err == nil {
		p.Log.Regained("listener", "clients", 0)
		return
	}
	p.Log.Lost("listener", "clients", err)
}

// Leave makes the host unready and closes each client's connection after its
// next response, so that clients turn to other hosts. Requests are still
// served.
func (p *Proxy) Leave() { p.leaving.Store(true) }

// Rate is the requests a second that clients lately sent to this host.
func (p *Proxy) Rate(now time.Time) int { return p.arrivals.rate(now) }

// InFlight is the number of requests in flight.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	p.arrivals.add(began)
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	info := p.Codec.ParseRequest(r.Header)
	client, span := p.startRequest(r, info.ID)
	f := &inflight{proxy: p, info: info, began: began, suspendedBefore: p.SuspendWatch.Total(), client: client, address: hostname(r.RemoteAddr)}
	var err error
	defer func() { endSpan(span, err) }()
	if err = f.prepare(w, r); err != nil {
		f.refuse(w, err)
		return
	}
	ctx, cancel := f.context()
	defer cancel()
	resp, err := f.run(ctx)
	if err != nil {
		f.refuse(w, err)
		return
	}
	f.forward(w, resp)
}

// closeIfLeaving is asked right before a response is written: the stop may have
// begun while the request was served, and a client that is not told to leave
// sends its next request on a connection that is about to end.
func (p *Proxy) closeIfLeaving(w http.ResponseWriter) {
	if p.leaving.Load() {
		closeAfterResponse(w)
	}
}

// closeAfterResponse makes the server close the client's connection after the
// response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// cleanUpEvery is how often CleanUp drops state. It bounds memory only.
const cleanUpEvery = 2 * time.Second

// CleanUp drops the load, health and connections of runs of upstreams
// that are not registered any more, and old suspicions, until the context ends.
func (p *Proxy) CleanUp(ctx context.Context) {
	for pause.For(ctx, cleanUpEvery) {
		runs := p.State.Upstreams().Runs()
		known := func(run upstream.Run) bool { return runs[run] }
		p.Balancer.Retain(known, time.Now())
		p.Detector.Retain(known)
		p.Notices.Retain(known, time.Now())
		p.Client.Retain(known)
		p.Suspicions.CleanUp(time.Now())
		p.Quota.CleanUp(time.Now())
	}
}
