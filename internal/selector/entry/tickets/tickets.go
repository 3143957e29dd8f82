// Package tickets issues this host's tickets and serves the requests that carry
// one, so that each runs at most once (docs/design/tickets.md).
//
// It owns the host's own ticket store and those of the stopped hosts whose
// successor it is. It relies on dispatch to run a request, and on forwarding to
// reach the issuer of another host's ticket.
package tickets

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cairndock/internal/peer"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/forward"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/ticket"
	"cairndock/internal/verdict"
)

// Forwarder exchanges requests and responses with other hosts.
type Forwarder interface {
	Exchange(ctx context.Context, to member.Contact, kind peer.Kind, msg forward.Message) (*call.Response, error)
	Respond(ctx context.Context, from peer.Hello, service string, resp *call.Response, err error, w *peer.Responder)
}

// Options are what an Issuer is made of.
type Options struct {
	Host        string
	Zone        string
	Incarnation string
	View        func() *config.View
	// Dispatch runs a request.
	Dispatch  func(ctx context.Context, req *call.Request) (*call.Response, error)
	Forwarder Forwarder
	Peers     *peers.Table
	Mesh      *peer.Mesh
	Log       zerolog.Logger
}

// Issuer issues tickets and serves the requests that carry them.
type Issuer struct {
	Options

	mu  sync.Mutex
	own *ticket.Store
	// adopted are the stores of stopped hosts, by incarnation, and handovers
	// what other hosts are to know of them.
	adopted   map[string]adoptedStore
	handovers []member.Successor

	running sync.WaitGroup
}

// adoptedStore is the store of a stopped host, and when it came here.
type adoptedStore struct {
	*ticket.Store
	at time.Time
}

// New makes an Issuer that has issued no ticket.
func New(o Options) *Issuer {
	return &Issuer{
		Options: o,
		own:     ticket.NewStore(o.Host, o.Zone, o.Incarnation, ticket.NewKey()),
		adopted: map[string]adoptedStore{},
	}
}

// Wait waits until no request is running.
func (i *Issuer) Wait() { i.running.Wait() }

// Kept counts the used tickets of this host that are kept.
func (i *Issuer) Kept() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.own.Len()
}

// Running counts this host's tickets whose requests have no outcome yet.
func (i *Issuer) Running() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.own.Running()
}

// Issue makes a ticket for one request to a service. Its error is a
// *verdict.Error.
func (i *Issuer) Issue(service string) (ticket.Ticket, error) {
	if _, ok := i.View().Service(service); !ok {
		return ticket.Ticket{}, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", service)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	t, err := i.own.Issue(time.Now())
	if err != nil {
		return t, verdict.New(verdict.NotRun, verdict.Stopping, "host is stopping")
	}
	return t, nil
}

// Do serves a request with a ticket: here when this host issued it or is the
// successor of the host that did, else there. Its error is a *verdict.Error.
func (i *Issuer) Do(ctx context.Context, req *call.Request) (*call.Response, error) {
	t, err := ticket.Parse(req.Ticket)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
	}
	if store := i.storeOf(t); store != nil {
		return i.use(ctx, store, t, req)
	}
	return i.askIssuer(ctx, t, req, false)
}

// askIssuer forwards a ticket's request to its issuer, or to a host of the
// issuer's zone, which knows the issuer and forwards it once more.
func (i *Issuer) askIssuer(ctx context.Context, t ticket.Ticket, req *call.Request, passed bool) (*call.Response, error) {
	to, ok := i.Peers.ForTicket(t.Host, t.Incarnation, t.Zone, !passed)
	if !ok {
		return nil, verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "the ticket's host %s can't be reached", t.Host)
	}
	msg := forward.NewMessage(ctx, req, "", time.Time{})
	msg.Passed = passed
	return i.Forwarder.Exchange(ctx, to, peer.KindTicket, msg)
}

// storeOf gives the store that a ticket belongs to, if it is here.
func (i *Issuer) storeOf(t ticket.Ticket) *ticket.Store {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.Host == i.Host && t.Incarnation == i.Incarnation {
		return i.own
	}
	return i.adopted[t.Incarnation].Store
}

// Serve serves a ticket's request that another host forwarded. It forwards it
// once more when it is not the issuer but may know it.
func (i *Issuer) Serve(ctx context.Context, from peer.Hello, msg forward.Message, w *peer.Responder) {
	req := msg.Request()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	t, err := ticket.Parse(req.Ticket)
	store := i.storeOf(t)
	var resp *call.Response
	switch {
	case err != nil:
		err = verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
	case store == nil && !msg.Passed:
		resp, err = i.askIssuer(ctx, t, req, true)
	case store == nil:
		err = verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "%s has not the ticket", i.Host)
	default:
		resp, err = i.use(ctx, store, t, req)
	}
	i.Forwarder.Respond(ctx, from, msg.Service, resp, err, w)
}
