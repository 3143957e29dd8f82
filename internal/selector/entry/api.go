package entry

import (
	"context"
	"net/netip"
	"time"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/entry/drain"
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
