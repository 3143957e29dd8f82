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
	"cairndock/internal/gateway/indirect"
	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/payload"
	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/reach"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/pause"
	"cairndock/internal/poison"
	"cairndock/internal/requestbody"
	"cairndock/internal/suspend"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// RequestInfo is the request metadata that a Codec reads from the headers.
type RequestInfo struct {
	// ID is the request ID that the client chose.
	ID string
	// Key identifies the object that the request concerns, for affinity. It may be empty.
	Key string
	// Credential identifies the client account. It is empty when the request carries
	// none.
	Credential string
	// Credentials is the number of credentials in the request. With more than one, the
	// client account is ambiguous.
	Credentials int
	// Timeout is how long the client waits; zero when the client does not specify it.
	Timeout time.Duration
}

// Peers are the other hosts. *fleet.Fleet implements it.
type Peers interface {
	indirect.Peers
	// IndirectHosts returns the live hosts that take requests of hosts without a path to
	// upstreams.
	IndirectHosts() []indirect.Host
}

// Codec reads and writes the headers that clients and the gateway exchange.
type Codec interface {
	// ParseRequest reads the metadata of a request from its headers.
	ParseRequest(h http.Header) RequestInfo
	// SetAccount replaces the credential in the headers of a request to an upstream with
	// the name of the client account. An empty name removes the credential only.
	SetAccount(h http.Header, name string)
	// WriteError writes a complete error response that the gateway generates, and returns
	// its status.
	WriteError(w http.ResponseWriter, info RequestInfo, e *verdict.Error) int
}

// Options are the dependencies of a Proxy. All are required.
type Options struct {
	// State holds the configuration and the upstreams.
	State *routing.State
	// Balancer chooses an upstream for each attempt.
	Balancer *balance.Balancer
	// Rollouts plans which versions of a service get requests, and compares them.
	Rollouts *rollout.Table
	// Detector ejects upstreams based on the outcomes of attempts.
	Detector *outlier.Detector
	// Budget limits how many requests are sent more than once.
	Budget *retry.Budget
	// Suspicions finds requests that terminate the upstreams that run them.
	Suspicions *poison.Table
	// SuspendWatch detects that the machine was suspended.
	SuspendWatch *suspend.Watch
	// Reach determines whether the host reaches the upstreams.
	Reach *reach.Monitor
	// Notices holds the notices that upstreams send in their responses.
	Notices *notice.Table
	// Client sends attempts to upstreams.
	Client *exchange.Client
	// Bodies holds the bodies of requests.
	Bodies *requestbody.Buffers
	// Codec reads request headers and writes error responses.
	Codec Codec
	// KnowsQuarantines reports whether the host has received the list of quarantined
	// requests. Until then the host serves no requests.
	KnowsQuarantines func() bool
	// RefusesSuspected reports whether the host serves without that list, and must treat
	// each suspected request as quarantined.
	RefusesSuspected func() bool
	// SlackShare returns this host's share of the retry budget's slack, from 0 to 1. It is
	// zero while the host does not know which hosts share the slack.
	SlackShare func() float64
	// Peers are the other hosts, for requests while this host reaches no upstream.
	Peers Peers
	// Location is the host's own location.
	Location balance.Location
	// Capacity is the requests per second that the host can handle; zero if it is unknown.
	Capacity int
	// Quota enforces the limits of client accounts.
	Quota *quota.Limiter
	// MaxKeyAge is the maximum age of the operator configuration for which API keys are
	// accepted. Zero means no maximum, so that a host without a source for the
	// configuration keeps serving with the last known keys.
	MaxKeyAge time.Duration
	// ConfigAge and UpstreamsAge return how long ago a source last confirmed the operator
	// configuration and the upstreams. Both are logged.
	ConfigAge, UpstreamsAge func() time.Duration
	// Log is the decision log.
	Log *eventlog.Log
	// Metrics counts refusals and failures, and measures the duration of requests.
	Metrics *telemetry.Metrics
	// Tracer creates a span for each request and each attempt.
	Tracer trace.Tracer
}

// Proxy is an http.Handler that serves client requests.
type Proxy struct {
	Options

	inFlight atomic.Int64
	arrivals arrivals
	// payload measures the requests and responses of each route.
	payload payload.Sizes
	leaving atomic.Bool
	// acceptFailing is set while accepting client connections fails.
	acceptFailing atomic.Bool
	// aborted is canceled when the host aborts the requests in flight. Each client then
	// gets an error response that says whether its request may have run.
	aborted context.Context
	abort   context.CancelFunc
}

// New returns a Proxy with the given options.
func New(o Options) *Proxy {
	p := &Proxy{Options: o}
	p.aborted, p.abort = context.WithCancel(context.Background())
	return p
}

// Ready reports whether clients should use this host: it is not stopping, can accept
// connections and has a configuration.
func (p *Proxy) Ready() bool { return !p.leaving.Load() && !p.acceptFailing.Load() && p.canServe() }

// canServe reports whether the host has all the state that it needs to serve a request.
func (p *Proxy) canServe() bool { return p.State.Ready() && p.KnowsQuarantines() }

// recordAccepting records whether accepting client connections succeeds. err is nil when
// it does.
func (p *Proxy) recordAccepting(err error) {
	p.acceptFailing.Store(err != nil)
	if err == nil {
		p.Log.Regained("listener", "clients", 0)
		return
	}
	p.Log.Lost("listener", "clients", err)
}

// Leave makes the host unready and closes each client connection after its next response,
// so that clients switch to other hosts. Requests are still served.
func (p *Proxy) Leave() { p.leaving.Store(true) }

// Rate returns the recent rate of client requests to this host, in requests per second.
func (p *Proxy) Rate(now time.Time) int { return p.arrivals.rate(now) }

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	p.arrivals.add(began)
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	info := p.Codec.ParseRequest(r.Header)
	clientCtx, span := p.startRequest(r, info.ID)
	f := &inflight{proxy: p, info: info, began: began, suspendedAtStart: p.SuspendWatch.Total(), clientCtx: clientCtx, address: hostname(r.RemoteAddr)}
	var err error
	defer func() { endSpan(span, err) }()
	defer func() { f.body.Release() }()
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

// closeIfLeaving is called right before a response is written, because the stop may have
// begun while the request was served. Without the Connection header the client would send
// its next request on a connection that is about to close.
func (p *Proxy) closeIfLeaving(w http.ResponseWriter) {
	if p.leaving.Load() {
		closeAfterResponse(w)
	}
}

// closeAfterResponse makes the server close the client connection after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// cleanUpInterval is how often CleanUp drops state. It only limits memory use.
const cleanUpInterval = 2 * time.Second

// CleanUp periodically drops the load, health and connections of runs of upstreams that
// are no longer registered, and old suspicions, until the context ends.
func (p *Proxy) CleanUp(ctx context.Context) {
	for pause.For(ctx, cleanUpInterval) {
		runs := p.State.Upstreams().Runs()
		registered := func(run upstream.Run) bool { return runs[run] }
		p.Balancer.Retain(registered, time.Now())
		p.Detector.Retain(registered)
		p.Notices.Retain(registered, time.Now())
		p.Client.Retain(registered)
		p.Suspicions.CleanUp(time.Now())
		p.Quota.CleanUp(time.Now())
	}
}
