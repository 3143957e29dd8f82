package entry

import (
	"context"
	"time"

	"cairndock/internal/pause"
)

// StopReport is the result of a planned stop.
type StopReport struct {
	// Waited is the duration of the stop.
	Waited time.Duration
	// Cut is the number of requests that were aborted because the window ended,
	// or that received an error response because the host was stopping.
	Cut int64
	// HandedOver reports whether another host took over the tickets.
	HandedOver bool
}

// Stop takes the host out of service. The host is no longer announced to clients,
// leaves the zone's roster, serves the requests that still arrive, closes the
// clients' connections, waits for the requests in flight and hands its tickets
// over. Stop ends early if ctx ends.
//
// The clients' connections are closed before the wait, because a request that was
// read from a connection may not be in flight yet and would otherwise be served
// after the host has left. The same applies to requests of other hosts. Their
// connections are closed once nothing is in flight, because until then the host
// serves them as a member of the zone, and before the tickets are handed over,
// because a request that was already read may still use one.
func (h *Host) Stop(ctx context.Context) StopReport {
	start := time.Now()
	h.log.Info().Msg("entry: stop began")
	h.leaving.Store(true)
	h.services.Leave()
	h.directory.Refresh()
	h.heartbeats.NotifyAll()
	h.rosters.Leave(ctx)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(h.opts.Settings.Stop.Window))
	defer cancel()
	pause.For(ctx, time.Duration(h.opts.Settings.Stop.Grace))
	cut := h.stopClients(ctx)
	h.waitIdle(ctx)
	h.mesh.GoAway(ctx)
	h.waitIdle(ctx) // for requests that arrived in the meantime
	report := StopReport{HandedOver: h.tickets.HandOver(context.WithoutCancel(ctx))}
	report.Cut = cut + h.uncounted()
	if h.inFlight.Load() == 0 && h.services.Outstanding() == 0 {
		// Otherwise a slot is still in use. The host then stays a member, and its
		// slots stay unused, until the platform lists it as stopped.
		h.rosters.Remove(context.WithoutCancel(ctx))
	}
	report.Waited = time.Since(start)
	h.log.Info().Dur("waited", report.Waited).Int64("cut", report.Cut).Bool("handed_over", report.HandedOver).
		Msg("entry: stop ended")
	return report
}

// InFlight counts a client's request as in flight until the function that it
// returns is called.
func (h *Host) InFlight() func() {
	h.inFlight.Add(1)
	h.clientsInFlight.Add(1)
	return func() {
		h.clientsInFlight.Add(-1)
		h.inFlight.Add(-1)
	}
}

// stopClients closes the clients' connections and returns the number of requests
// that it aborted.
func (h *Host) stopClients(ctx context.Context) int64 {
	if h.opts.StopClients == nil {
		return 0
	}
	return h.opts.StopClients(ctx)
}

// uncounted returns the number of requests in flight that stopClients did not
// count: those of other hosts, whose connections are still open.
func (h *Host) uncounted() int64 {
	if h.opts.StopClients == nil {
		return h.inFlight.Load()
	}
	return h.inFlight.Load() - h.clientsInFlight.Load()
}

// idlePollInterval is the time between two checks whether a stopping host is idle.
const idlePollInterval = 20 * time.Millisecond

// waitIdle waits until no request is in flight or ctx ends.
func (h *Host) waitIdle(ctx context.Context) {
	for h.inFlight.Load() > 0 || h.services.Outstanding() > 0 || h.tickets.Running() > 0 {
		if !pause.For(ctx, idlePollInterval) {
			return
		}
	}
}
