package entry

import (
	"context"
	"net/netip"
	"time"

	"cairndock/internal/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/entry/directory"
	"cairndock/internal/selector/entry/drain"
	"cairndock/internal/selector/ticket"
)

// What the host's duties give to operators and clients, under the names that
// the commands and servers use.
type (
	// Applied is the response to a change.
	Applied = configsync.Applied
	// ZoneProgress says whether a zone has a change in force.
	ZoneProgress = configsync.ZoneProgress
	// Drained says how far upstreams are from having no work.
	Drained = drain.Drained
	// Entry is one host that a client may use.
	Entry = directory.Entry
	// Entries is the response to which hosts a client may use.
	Entries = directory.Entries
)

const (
	// StateAccepted is the state of a change that is in force everywhere.
	StateAccepted = configsync.StateAccepted
	// StatePending is the state of a change that some zone may not have yet.
	StatePending = configsync.StatePending
	// FreezeAfter is the age of the last proof that the configuration is the
	// newest, after which a host freezes.
	FreezeAfter = configsync.FreezeAfter
)

// Apply accepts a change and waits, for the given time at most, for every
// zone to have it in force.
func (h *Host) Apply(ctx context.Context, c config.Change, wait time.Duration) (Applied, error) {
	return h.config.Apply(ctx, c, wait)
}

// ChangeProgress gives the progress of a change by its id.
func (h *Host) ChangeProgress(ctx context.Context, id string) (Applied, bool, error) {
	return h.config.ChangeProgress(ctx, id)
}

// Do serves a request that a client sent to this host. Its error is a
// *verdict.Error.
func (h *Host) Do(ctx context.Context, req *call.Request) (*call.Answer, error) {
	if req.Ticket != "" {
		return h.tickets.Do(ctx, req)
	}
	return h.dispatch.Dispatch(ctx, req)
}

// MintTicket makes a ticket for one request to a service. Its error is a
// *verdict.Error.
func (h *Host) MintTicket(service string) (ticket.Ticket, error) { return h.tickets.Mint(service) }

// EntriesFor gives the hosts that a client may use, as JSON.
func (h *Host) EntriesFor(service string, client netip.Addr) ([]byte, error) {
	return h.directory.JSON(service, client)
}

// DrainProgress asks every host that may have work at the upstreams.
func (h *Host) DrainProgress(ctx context.Context, upstreams []string) Drained {
	return h.drain.Count(ctx, upstreams)
}
