package entry

import (
	"context"
	"net/netip"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/entry/drain"
	"cairndock/internal/selector/entry/forward"
	"cairndock/internal/selector/entry/links"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/ticket"
)

// Apply accepts a change and waits, for the given time at most, for every
// zone to have it in force.
func (h *Host) Apply(ctx context.Context, c config.Change, wait time.Duration) (configsync.Applied, error) {
	return h.config.Apply(ctx, c, wait)
}

// ChangeProgress gives the progress of a change by its id.
func (h *Host) ChangeProgress(ctx context.Context, id string) (configsync.Applied, bool, error) {
	return h.config.ChangeProgress(ctx, id)
}

// Do serves a request that a client sent to this host. Its error is a
// *verdict.Error.
func (h *Host) Do(ctx context.Context, req *call.Request) (*call.Response, error) {
	if req.Ticket != "" {
		return h.tickets.Do(ctx, req)
	}
	return h.dispatch.Dispatch(ctx, req)
}

// IssueTicket makes a ticket for one request to a service. Its error is a
// *verdict.Error.
func (h *Host) IssueTicket(service string) (ticket.Ticket, error) { return h.tickets.Issue(service) }

// EntriesFor gives the hosts that a client may use, as JSON.
func (h *Host) EntriesFor(service string, client netip.Addr) ([]byte, error) {
	return h.directory.JSON(service, client)
}

// DrainProgress asks every host that may have work at the upstreams.
func (h *Host) DrainProgress(ctx context.Context, upstreams []string) drain.Drained {
	return h.drain.Count(ctx, upstreams)
}

// ServePeer serves one stream of another entry host. A kind of message that this
// version does not know gets no reply.
func (h *Host) ServePeer(ctx context.Context, from peer.Hello, kind peer.Kind, payload []byte, w *peer.Responder) {
	switch kind {
	case peer.KindForward:
		serve(payload, func(m forward.Message) {
			h.inFlight.Add(1)
			defer h.inFlight.Add(-1)
			h.forward.Serve(ctx, from, m, w)
		})
	case peer.KindTicket:
		serve(payload, func(m forward.Message) {
			h.inFlight.Add(1)
			defer h.inFlight.Add(-1)
			h.tickets.Serve(ctx, from, m, w)
		})
	case peer.KindHeartbeat:
		serve(payload, func(b member.Heartbeat) { h.heartbeats.Serve(ctx, b, w) })
	case peer.KindRoster:
		serve(payload, func(string) { reply(w, h.roster()) })
	case peer.KindChanges:
		serve(payload, func(after uint64) { h.config.ServeChanges(after, w) })
	case peer.KindPush:
		serve(payload, func(m configsync.Push) { reply(w, h.config.ServePush(ctx, from.Host, m)) })
	case peer.KindConfirm:
		serve(payload, func(rev uint64) { reply(w, h.config.OwnProgress(rev)) })
	case peer.KindLend:
		serve(payload, func(m links.LoanRequest) { reply(w, h.links.Lend(m)) })
	case peer.KindDrain:
		serve(payload, func(m drain.Request) { reply(w, h.drain.Serve(ctx, m)) })
	case peer.KindHandover:
		serve(payload, func(m []ticket.Handover) {
			h.tickets.Adopt(m)
			reply(w, true)
			h.tickNow() // every host is to know the successor
		})
	}
}

// serve decodes a message and serves it. One that can't be decoded gets no
// reply: the sender's deadline ends its call.
func serve[T any](payload []byte, f func(T)) {
	m, err := peer.Decode[T](payload)
	if err != nil {
		return
	}
	f(m)
}

// reply sends the reply to a message. Where it can't be sent, the connection
// is lost, and the peer's own call fails.
func reply(w *peer.Responder, message any) { _ = w.Send(message) }
