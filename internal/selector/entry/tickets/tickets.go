// Package tickets issues the tickets of this host and serves the requests that carry
// a ticket, so that each of them runs at most once (docs/design/tickets.md).
//
// The package keeps the ticket store of this host and the stores of stopped hosts
// whose successor this host is. Package dispatch runs the requests, and package
// forward reaches the issuer of a ticket of another host.
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

// Options configure an Issuer.
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
	// adopted maps incarnations of stopped hosts to their stores. handovers is
	// the same information as it is sent to other hosts.
	adopted   map[string]adoptedStore
	handovers []member.Successor

	running sync.WaitGroup
}

// adoptedStore is the store of a stopped host, with the time of its adoption.
type adoptedStore struct {
	*ticket.Store
	adoptedAt time.Time
}

// New returns an Issuer that has issued no tickets.
func New(o Options) *Issuer {
	return &Issuer{
		Options: o,
		own:     ticket.NewStore(o.Host, o.Zone, o.Incarnation, ticket.NewKey()),
		adopted: map[string]adoptedStore{},
	}
}

// Wait waits until no request with a ticket is running on this host.
func (i *Issuer) Wait() { i.running.Wait() }

// Kept returns the number of used tickets that are stored for this host.
func (i *Issuer) Kept() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.own.Len()
}

// Running returns the number of tickets of this host whose requests have no outcome
// yet.
func (i *Issuer) Running() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.own.Running()
}

// Issue returns a new ticket for one request to a service. Errors are of type
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

// Do serves a request with a ticket. The request runs on this host if this host is
// the issuer or the successor of the issuer; otherwise it is forwarded to the issuer.
// Errors are of type *verdict.Error.
func (i *Issuer) Do(ctx context.Context, req *call.Request) (*call.Response, error) {
	t, err := ticket.Parse(req.Ticket)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
	}
	if store := i.storeOf(t); store != nil {
		return i.use(ctx, store, t, req)
	}
	return i.forwardToIssuer(ctx, t, req, false)
}

// forwardToIssuer forwards the request of a ticket to the issuer, or to a host of the
// issuer's zone, which may have the issuer in its table and can forward the request
// once more.
func (i *Issuer) forwardToIssuer(ctx context.Context, t ticket.Ticket, req *call.Request, passed bool) (*call.Response, error) {
	to, ok := i.Peers.ForTicket(t.Host, t.Incarnation, t.Zone, !passed)
	if !ok {
		return nil, verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "the ticket's host %s can't be reached", t.Host)
	}
	msg := forward.NewMessage(ctx, req, "", time.Time{})
	msg.Passed = passed
	return i.Forwarder.Exchange(ctx, to, peer.KindTicket, msg)
}

// storeOf returns the store that a ticket belongs to, or nil if this host does not
// have the store.
func (i *Issuer) storeOf(t ticket.Ticket) *ticket.Store {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.Host == i.Host && t.Incarnation == i.Incarnation {
		return i.own
	}
	return i.adopted[t.Incarnation].Store
}

// Serve serves a request with a ticket that another host forwarded. If this host does
// not have the ticket, it forwards the request to the issuer, unless the request has
// been forwarded twice already.
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
		resp, err = i.forwardToIssuer(ctx, t, req, true)
	case store == nil:
		err = verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "%s has not the ticket", i.Host)
	default:
		resp, err = i.use(ctx, store, t, req)
	}
	i.Forwarder.Respond(ctx, from, msg.Service, resp, err, w)
}
