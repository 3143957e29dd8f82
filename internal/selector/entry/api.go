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

// Apply accepts a change and waits, for at most the given time, until every zone
// has it in force or has lapsed.
func (h *Host) Apply(ctx context.Context, c config.Change, wait time.Duration) (configsync.Applied, error) {
	return h.config.Apply(ctx, c, wait)
}

// ChangeProgress returns the progress of the change with the given ID, and whether
// the change exists.
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

// IssueTicket issues a ticket for one request to a service. Its error is a
// *verdict.Error.
func (h *Host) IssueTicket(service string) (ticket.Ticket, error) { return h.tickets.Issue(service) }

// EntriesFor returns the hosts that a client may use, encoded as JSON.
func (h *Host) EntriesFor(service string, client netip.Addr) ([]byte, error) {
	return h.directory.JSON(service, client)
}

// DrainProgress queries every host that may have requests outstanding at the
// upstreams, and returns the totals.
func (h *Host) DrainProgress(ctx context.Context, upstreams []string) drain.Drained {
	return h.drain.Count(ctx, upstreams)
}

// ServePeer serves one stream of another entry host. It sends no reply to kinds of
// messages that this version does not support.
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
			h.tickNow() // every host has to learn the successor
		})
	}
}

// serve decodes a message and passes it to f. A message that cannot be decoded
// gets no reply; the sender's call then ends at its deadline.
func serve[T any](payload []byte, f func(T)) {
	m, err := peer.Decode[T](payload)
	if err != nil {
		return
	}
	f(m)
}

// reply sends the reply to a message. An error is ignored, because it means that
// the connection is lost and the peer's call fails as well.
func reply(w *peer.Responder, message any) { _ = w.Send(message) }
