package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/call"
	"cairndock/internal/peer"
	"cairndock/internal/selector/link"
	"cairndock/internal/selector/member"
	"cairndock/internal/verdict"
)

// forwardMsg passes a request to a host that may admit it.
type forwardMsg struct {
	Service string      `msgpack:"s"`
	Rule    string      `msgpack:"r"`
	Method  string      `msgpack:"m"`
	Target  string      `msgpack:"t"`
	Header  http.Header `msgpack:"h"`
	Body    []byte      `msgpack:"b"`
	Ticket  string      `msgpack:"k"`
	// LeftMillis is the time left until the deadline, and WaitMillis the
	// time the request may wait for a slot.
	LeftMillis int64 `msgpack:"l"`
	WaitMillis int64 `msgpack:"w"`
	// Passed says that the host may not pass the request on again.
	Passed bool              `msgpack:"p"`
	Trace  map[string]string `msgpack:"c"`
}

// forwardReply is an answer's head, or a refusal.
type forwardReply struct {
	Status   int             `msgpack:"s"`
	Header   http.Header     `msgpack:"h"`
	Length   int64           `msgpack:"l"`
	Upstream string          `msgpack:"u"`
	Verdict  verdict.Verdict `msgpack:"v"`
	// Reason is set when there is no answer.
	Reason      verdict.Reason `msgpack:"r"`
	Detail      string         `msgpack:"d"`
	RetryMillis int64          `msgpack:"y"`
	// Free tells the admitting host's slots with every reply.
	Free member.Free `msgpack:"f"`
}

func (r forwardReply) err() *verdict.Error {
	e := verdict.New(r.Verdict, r.Reason, "%s", r.Detail).WithUpstream(r.Upstream)
	return e.WithRetryAfter(time.Duration(r.RetryMillis) * time.Millisecond)
}

// forward passes a request to a host of a zone.
func (h *Host) forward(ctx context.Context, req *call.Request, zone, rule string, until time.Time) (*call.Answer, error) {
	target, ok := h.peers.WithMostFree(zone, req.Service, h.random.Float64)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.NoUpstream, "no host of %s can be reached", zone)
	}
	ctx, span := h.tracer.Start(ctx, "peer", trace.WithAttributes(attribute.String("peer", target.Host)))
	defer span.End()
	msg := newForward(ctx, req, rule, until)
	// A host of the own zone was asked since this one is full itself.
	msg.Passed = zone == h.self.Zone
	h.metrics.Count("cairndock_forwards_total")
	return h.exchange(ctx, target, peer.KindForward, msg)
}

func newForward(ctx context.Context, req *call.Request, rule string, until time.Time) forwardMsg {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return forwardMsg{
		Service: req.Service, Rule: rule, Method: req.Method, Target: req.Target,
		Header: req.Header, Body: req.Body, Ticket: req.Ticket,
		LeftMillis: time.Until(req.Deadline).Milliseconds(),
		WaitMillis: max(0, time.Until(until).Milliseconds()),
		Trace:      carrier,
	}
}

// exchange sends a forwardMsg and gives the peer's answer. What was never
// sent did not run; what was sent and not answered may have.
func (h *Host) exchange(ctx context.Context, to member.Contact, kind peer.Kind, msg forwardMsg) (*call.Answer, error) {
	payload, err := peer.Encode(msg)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	if err := h.links.Wait(ctx, msg.Service, to.Zone, len(payload)); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineLapsed, "link to %s is busy", to.Zone)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(msg.LeftMillis)*time.Millisecond)
	stream, err := h.mesh.Open(ctx, to.PeerAddr, kind, payload)
	if err != nil {
		cancel()
		return nil, h.exchangeError(ctx, to, kind, err)
	}
	reply, err := peer.Decode[forwardReply](stream.Payload)
	if err != nil {
		cancel()
		_ = stream.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "%v", err)
	}
	h.noteFree(to, reply.Free)
	if reply.Reason != "" {
		cancel()
		_ = stream.Close()
		return nil, reply.err()
	}
	return &call.Answer{
		Status: reply.Status, Header: reply.Header, Length: reply.Length,
		Upstream: reply.Upstream, Verdict: reply.Verdict,
		Body: &streamBody{Stream: stream, cancel: cancel, stop: context.AfterFunc(ctx, func() { _ = stream.Close() })},
	}, nil
}

// exchangeError decides the verdict when a peer gave no reply. A ticket's
// request may always have run before, at its minter.
func (h *Host) exchangeError(ctx context.Context, to member.Contact, kind peer.Kind, err error) error {
	if errors.Is(err, peer.ErrNotSent) {
		h.peers.Failed(to.Host)
	}
	if errors.Is(err, peer.ErrNotSent) && kind != peer.KindTicket {
		return verdict.New(verdict.NotRun, verdict.PeerFailed, "%s can't be reached", to.Host)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, "no reply from %s in time", to.Host)
	}
	return verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "lost %s: %v", to.Host, err)
}

// streamBody is the body of an answer that came from a peer.
type streamBody struct {
	*peer.Stream
	cancel context.CancelFunc
	stop   func() bool
}

// Close gives the answer up if it was not read whole.
func (b *streamBody) Close() error {
	b.stop()
	b.cancel()
	return b.Stream.Close()
}

// zonePeersMayHelp reports whether a host of the own zone said that it has a
// free slot.
func (h *Host) zonePeersMayHelp(service string) bool {
	_, ok := h.peers.WithMostFree(h.self.Zone, service, h.random.Float64)
	return ok
}

// noteFree takes in the slots a peer told with a reply.
func (h *Host) noteFree(from member.Contact, f member.Free) {
	if f.Service == "" {
		return
	}
	h.peers.Update(func(p *member.Peers) { p.NoteFree(from.Host, f) })
}

// serveForward admits a peer's request or refuses it as not run.
func (h *Host) serveForward(ctx context.Context, from peer.Hello, msg forwardMsg, w *peer.Responder) {
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier(msg.Trace))
	ctx, span := h.tracer.Start(ctx, "admit", trace.WithAttributes(attribute.String("from", from.Host)))
	defer span.End()
	answer, err := h.admit(ctx, msg)
	h.sendAnswer(ctx, from, msg.Service, answer, err, w)
}

func (m forwardMsg) request() *call.Request {
	return &call.Request{
		Service: m.Service, Method: m.Method, Target: m.Target, Header: m.Header, Body: m.Body, Ticket: m.Ticket,
		Deadline: time.Now().Add(time.Duration(m.LeftMillis) * time.Millisecond),
	}
}

// admit takes a slot for a peer's request, here or, when this host is full
// and another of the zone is not, there.
func (h *Host) admit(ctx context.Context, msg forwardMsg) (*call.Answer, error) {
	req := msg.request()
	if _, ok := h.View().Service(msg.Service); !ok {
		return nil, verdict.New(verdict.NotRun, verdict.NoUpstream, "service is not known in %s yet", h.self.Zone)
	}
	until := time.Now().Add(time.Duration(msg.WaitMillis) * time.Millisecond)
	lease, err := h.acquire(ctx, msg.Service, msg.Rule, time.Time{})
	if err != nil && verdict.From(err).Reason == verdict.Full && !msg.Passed && h.zonePeersMayHelp(msg.Service) {
		answer, err := h.forward(ctx, req, h.self.Zone, msg.Rule, time.Time{})
		if err == nil || verdict.From(err).Verdict != verdict.NotRun {
			return answer, err
		}
	}
	if err != nil && msg.WaitMillis > 0 && verdict.From(err).Reason == verdict.Full {
		lease, err = h.acquire(ctx, msg.Service, msg.Rule, until)
	}
	if err != nil {
		return nil, err
	}
	return h.send(ctx, h.services.Get(msg.Service), lease, req)
}

// sendAnswer passes an answer to the peer that asked, at the pace of the
// link between.
func (h *Host) sendAnswer(ctx context.Context, from peer.Hello, name string, a *call.Answer, err error, w *peer.Responder) {
	free := h.services.Get(name).Free(name)
	if err != nil {
		e := verdict.From(err)
		_ = w.Send(forwardReply{
			Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, Upstream: e.Upstream,
			RetryMillis: e.RetryAfter.Milliseconds(), Free: free,
		})
		return
	}
	defer a.Body.Close()
	head, err := peer.Encode(forwardReply{
		Status: a.Status, Header: a.Header, Length: a.Length, Upstream: a.Upstream, Verdict: a.Verdict, Free: free,
	})
	if err != nil || h.links.Wait(ctx, name, from.Zone, len(head)) != nil || w.Reply(head) != nil {
		return
	}
	if err := h.copyBody(ctx, from, name, a.Body, w); err != nil {
		_ = w.Fail()
		return
	}
	_ = w.End()
}

// chunks are used again from answer to answer.
var chunks = sync.Pool{New: func() any { return new([link.Chunk]byte) }}

func (h *Host) copyBody(ctx context.Context, from peer.Hello, service string, body io.Reader, w *peer.Responder) error {
	pooled := chunks.Get().(*[link.Chunk]byte)
	defer chunks.Put(pooled)
	buf := pooled[:h.links.Chunk(from.Zone)]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := h.links.Wait(ctx, service, from.Zone, n); err != nil {
				return err
			}
			if _, err := w.Write(buf[:n]); err != nil {
				return err
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
