package proxy

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/indirect"
	"cairndock/internal/verdict"
)

// While this host reaches no upstream, its requests go through another host (package
// indirect). Requests that other hosts send are in serveindirect.go.

// maxPeers is the number of hosts that are asked to send a request.
const maxPeers = 3

// errNoPeer is the error when no other host takes requests.
var errNoPeer = eris.New("no other host reaches the upstreams")

// errIsolated returns the error of a request that a host does not send because it reaches no
// upstream.
func errIsolated() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Unreachable, "the host reaches no upstream")
}

// goesIndirect reports whether the request may be sent through another host, and this host
// reaches no upstream. A request takes one such hop at most.
func (f *inflight) goesIndirect() bool {
	return f.proxy.Reach.Isolated() && !f.indirect && f.retryState().MayGoIndirect(f.isDone(f.clientCtx))
}

// endForIndirect reports whether the attempts end so that the request can be sent through
// another host. Attempts that have not sent the request are withdrawn. An attempt that may have
// sent it is abandoned only if the request may run more than once and the retry budget grants
// another attempt.
func (s *attempts) endForIndirect() bool {
	f := s.inflight
	if !f.proxy.Reach.Isolated() || f.indirect || len(f.indirectHosts()) == 0 {
		return false
	}
	pending := s.pending()
	inDoubt := len(s.running) > len(pending)
	state := f.retryState()
	state.Attempts -= len(pending)
	if inDoubt && !f.repeatable() || !state.MayGoIndirect(f.isDone(s.ctx)) {
		return false
	}
	if state.NeedsBudget() {
		if f.indirectGrant = f.takeRetry(time.Now()); f.indirectGrant == nil {
			return false
		}
	}
	if !s.withdraw(pending) {
		f.returnIndirectGrant()
		return false
	}
	if inDoubt && f.mayHaveRun == nil {
		f.mayHaveRun = verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "the host lost its path to the upstreams")
	}
	f.endedForIndirect = true
	return true
}

// pending returns the running attempts that have not sent the request.
func (s *attempts) pending() []*attempt {
	var pending []*attempt
	for _, a := range s.running {
		if a.isPending() {
			pending = append(pending, a)
		}
	}
	return pending
}

// withdraw withdraws pending attempts. It returns false if one of them has begun to send the
// request in the meantime.
func (s *attempts) withdraw(pending []*attempt) bool {
	for _, a := range pending {
		if !a.withdraw() {
			return false
		}
	}
	for _, a := range pending {
		s.inflight.countedAttempts--
		s.inflight.returnRetry(a.grant)
	}
	return true
}

// indirectHosts returns other hosts that may send the request, in the order in which to ask
// them. There is none for a body that does not fit into a message. The body of a request that
// is restricted to regions must not leave these.
func (f *inflight) indirectHosts() []indirect.Host {
	if f.request.BodySize() > indirect.MaxBodyBytes {
		return nil
	}
	p := f.proxy
	var allowed []indirect.Host
	for _, h := range p.Peers.IndirectHosts() {
		if !f.isRegionRestricted() || f.allows(h.Region) {
			allowed = append(allowed, h)
		}
	}
	return indirect.Choose(allowed, indirect.Sender{Zone: p.Location.Zone, Region: p.Location.Region, Rate: p.Rate(time.Now())}, maxPeers)
}

// sendIndirect sends the request through another host. A host that refuses proves that the
// request did not run, so that the next host is asked. The error is errNoPeer if there is no
// such host, and errNoBudget if the request may have been sent to an upstream before and the
// retry budget denies another attempt.
func (f *inflight) sendIndirect(ctx context.Context) (*response, error) {
	hosts := f.indirectHosts()
	if len(hosts) == 0 {
		f.returnIndirectGrant()
		return nil, errNoPeer
	}
	if !f.takeIndirectGrant() {
		return nil, errNoBudget
	}
	var last *verdict.Error
	for _, h := range hosts {
		resp, err := f.sendThrough(ctx, h)
		if err == nil {
			return resp, nil
		}
		last = verdict.From(err)
		if !f.mayAskNext(last) {
			break
		}
	}
	f.returnIndirectGrant()
	return nil, f.finalVerdict(last)
}

// mayAskNext records the error of a host and reports whether the next host may be asked.
func (f *inflight) mayAskNext(e *verdict.Error) bool {
	if e.Verdict != verdict.NotRun {
		f.mayHaveRun = e
		f.countedAttempts++
		f.indirectGrant = nil // it is used
	}
	return f.goesIndirect() && f.takeIndirectGrant()
}

// takeIndirectGrant takes a retry from the budget if the request may have been sent before and
// has none yet. It returns false if the budget denies it.
func (f *inflight) takeIndirectGrant() bool {
	if f.indirectGrant == nil && f.retryState().NeedsBudget() {
		f.indirectGrant = f.takeRetry(time.Now())
		return f.indirectGrant != nil
	}
	return true
}

// returnIndirectGrant returns the retry that the request has for another host, if any.
func (f *inflight) returnIndirectGrant() {
	f.returnRetry(f.indirectGrant)
	f.indirectGrant = nil
}

// sendThrough sends the request through one host and buffers the beginning of the response.
func (f *inflight) sendThrough(ctx context.Context, to indirect.Host) (_ *response, err error) {
	began := time.Now()
	ctx, span := f.proxy.Tracer.Start(ctx, "peer", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("peer", to.Name)))
	defer func() { endSpan(span, err) }()
	resp, counted, err := indirect.Send(ctx, f.proxy.Peers, to, f.indirectRequest(ctx))
	f.counted = counted
	if err != nil {
		f.logIndirect(to.Name, 0, verdict.From(err), began)
		return nil, err
	}
	if err := f.proxy.Client.LimitIndirect(to.Name, f.request.Method, resp.Response); err != nil {
		_ = resp.Body.Close() // the response is not used
		e := verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "%v", err)
		f.logIndirect(to.Name, resp.Status, e, began)
		return nil, e
	}
	f.observeIndirect(resp, began)
	out, err := bufferPrefix(resp.Response)
	if err != nil {
		err = truncated(ctx, "", err)
	}
	f.logIndirect(to.Name, resp.Status, verdict.From(err), began)
	return out, err
}

// observeIndirect applies the notice of an upstream in a response that came through another
// host. A backoff binds that host only.
func (f *inflight) observeIndirect(resp *indirect.Response, sent time.Time) {
	resp.Info = f.proxy.Client.ParseResponse(f.info.ID, resp.Status, resp.Header)
	f.proxy.Notices.Observe(resp.Run, resp.Info.Notice.WithBackoff(0), sent, time.Now())
}

// indirectRequest returns the message for another host.
func (f *inflight) indirectRequest(ctx context.Context) indirect.Request {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	r := f.request
	return indirect.Request{
		ID: r.ID, Method: r.Method, Host: r.Host, Target: r.Target, Header: r.Header, Body: bytes.Join(r.Body, nil),
		Key: f.info.Key, Account: f.accountName(), Client: f.address, Fingerprint: f.fingerprint(),
		Config: f.config.Version, LeftMillis: time.Until(f.deadline()).Milliseconds(),
		Attempts: f.retryState().SentAttempts(), Counted: f.counted,
		Notices: f.proxy.Notices.InForce(time.Now()), Trace: carrier,
	}
}

// logIndirect logs and counts a request that was sent through another host. e is nil if there
// was a response.
func (f *inflight) logIndirect(peer string, status int, e *verdict.Error, began time.Time) {
	f.proxy.Metrics.Count("cairndock_indirect_sent_total")
	f.proxy.Log.Indirect(indirectEvent(f.info.ID, eventlog.SentTo, peer, status, e, began))
}

// indirectEvent returns the event for a request between two hosts.
func indirectEvent(id string, direction eventlog.Direction, peer string, status int, e *verdict.Error, began time.Time) eventlog.Indirect {
	ev := eventlog.Indirect{Request: id, Direction: direction, Peer: peer, Status: status, Outcome: eventlog.OutcomeAnswered, Took: time.Since(began)}
	if e != nil {
		ev.Outcome, ev.Verdict, ev.Detail, ev.Failed = string(e.Reason), e.Verdict.String(), e.Detail, true
	}
	return ev
}
