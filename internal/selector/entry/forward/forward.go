// Package forward sends requests to other hosts that may admit them, and serves
// requests that other hosts forward to this host (docs/design/request.md).
//
// The package defines the message of the peer protocol and its reply. Package
// peers tracks which hosts have free slots, package admission provides the slots
// of this host, and package links limits the rate of traffic to other regions.
package forward

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/peer"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/links"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/slot"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// Admitter admits requests to the upstreams of the host's own zone.
type Admitter interface {
	Acquire(ctx context.Context, service, rule string, until time.Time) (slot.Lease, error)
	Send(ctx context.Context, req *call.Request, lease slot.Lease) (*call.Response, error)
}

// Options configure a Forwarder.
type Options struct {
	Zone     string
	View     func() *config.View
	Services *services.Set
	Peers    *peers.Table
	Links    *links.Links
	Admitter Admitter
	Mesh     *peer.Mesh
	// Random returns random numbers in [0, 1).
	Random  func() float64
	Metrics *telemetry.Metrics
	Tracer  trace.Tracer
}

// Forwarder forwards requests between hosts.
type Forwarder struct{ Options }

// New returns a Forwarder.
func New(o Options) *Forwarder { return &Forwarder{o} }

// Forward sends a request to the host with the most free slots in a zone. Errors
// are of type *verdict.Error.
func (f *Forwarder) Forward(ctx context.Context, req *call.Request, zone, rule string, until time.Time) (*call.Response, error) {
	target, ok := f.Peers.WithMostFree(zone, req.Service, f.Random)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.NoUpstream, "no host of %s can be reached", zone)
	}
	ctx, span := f.Tracer.Start(ctx, "peer", trace.WithAttributes(attribute.String("peer", target.Host)))
	defer span.End()
	msg := NewMessage(ctx, req, rule, until)
	// A host of the same zone must not forward the request back, because this
	// host is full.
	msg.Passed = zone == f.Zone
	f.Metrics.Count("cairndock_forwards_total")
	return f.Exchange(ctx, target, peer.KindForward, msg)
}

// Exchange sends a message to a host and returns the response. A request that
// was never sent did not run. A request that was sent and got no response may
// have run. Errors are of type *verdict.Error.
func (f *Forwarder) Exchange(ctx context.Context, to member.Contact, kind peer.Kind, msg Message) (*call.Response, error) {
	payload, err := peer.Encode(msg)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	if err := f.Links.Wait(ctx, msg.Service, to.Zone, len(payload)); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineLapsed, "link to %s is busy", to.Zone)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(msg.LeftMillis)*time.Millisecond)
	stream, err := f.Mesh.Open(ctx, to.PeerAddr, kind, payload)
	if err != nil {
		cancel()
		return nil, f.exchangeError(ctx, to, kind, err)
	}
	head, err := f.readHead(to, stream)
	if err != nil {
		cancel()
		_ = stream.Close()
		return nil, err
	}
	return &call.Response{
		Status: head.Status, Header: head.Header, Length: head.Length,
		Upstream: head.Upstream, Verdict: head.Verdict,
		Body: &streamBody{Stream: stream, cancel: cancel, stop: context.AfterFunc(ctx, func() { _ = stream.Close() })},
	}, nil
}

// readHead decodes the head of a response and records the free slots that the
// peer reports in it.
func (f *Forwarder) readHead(from member.Contact, stream *peer.Stream) (reply, error) {
	head, err := peer.Decode[reply](stream.Payload)
	if err != nil {
		return reply{}, verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "%v", err)
	}
	if head.Free.Service != "" {
		f.Peers.Update(func(p *member.Peers) { p.RecordSlots(from.Host, head.Free) })
	}
	if head.Reason != "" {
		return reply{}, head.err()
	}
	return head, nil
}

// exchangeError returns the verdict on a request whose peer sent no reply. A
// request with a ticket may always have run earlier, at the issuer of the ticket.
func (f *Forwarder) exchangeError(ctx context.Context, to member.Contact, kind peer.Kind, err error) error {
	if errors.Is(err, peer.ErrNotSent) {
		f.Peers.RecordFailure(to.Host)
	}
	if errors.Is(err, peer.ErrNotSent) && kind != peer.KindTicket {
		return verdict.New(verdict.NotRun, verdict.PeerFailed, "%s can't be reached", to.Host)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, "no reply from %s in time", to.Host)
	}
	return verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "lost %s: %v", to.Host, err)
}

// streamBody is the body of a response from a peer.
type streamBody struct {
	*peer.Stream
	cancel context.CancelFunc
	stop   func() bool
}

// Close closes the stream. A response that was not read completely is aborted.
func (b *streamBody) Close() error {
	b.stop()
	b.cancel()
	return b.Stream.Close()
}

// ZoneMayHelp reports whether another host of the same zone reported a free slot.
func (f *Forwarder) ZoneMayHelp(service string) bool {
	_, ok := f.Peers.WithMostFree(f.Zone, service, f.Random)
	return ok
}
