package entry

import (
	"context"
	"time"

	"cairndock/internal/pause"
)

// StopReport says how a planned stop went.
type StopReport struct {
	// Waited is how long the stop took.
	Waited time.Duration
	// Cut is how many requests were broken off because the window ended, or got an
	// error response since the host stops.
	Cut int64
	// HandedOver is set when another host is the successor for the tickets.
	HandedOver bool
}

// Stop takes the host out of service: it is no longer named to clients, leaves
// the zone's roster, serves what still comes, ends the clients' connections,
// waits for what is in flight and hands its tickets over. It ends early when ctx
// does.
//
// The connections end before the wait: a request that was read from one is not
// in flight yet, and would be served by a host that has left. The same holds for
// requests of other hosts. Those go elsewhere once nothing is in flight: until then
// the host answers what it is asked as a member, and before the tickets are handed
// over, as a request that was read may still use one.
func (h *Host) Stop(ctx context.Context) StopReport {
	began := time.Now()
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
	h.waitIdle(ctx) // for what came in between
	report := StopReport{HandedOver: h.tickets.HandOver(context.WithoutCancel(ctx))}
	report.Cut = cut + h.uncounted()
	if h.inFlight.Load() == 0 && h.services.Outstanding() == 0 {
		// A host with a slot still taken stays a member, and its slots unused,
		// until the platform calls it gone.
		h.rosters.Remove(context.WithoutCancel(ctx))
	}
	report.Waited = time.Since(began)
	h.log.Info().Dur("waited", report.Waited).Int64("cut", report.Cut).Bool("handed_over", report.HandedOver).
		Msg("entry: stop ended")
	return report
}

// InFlight counts a client's request as in flight until the function that it
// returns is called.
func (h *Host) InFlight() func() {
	h.inFlight.Add(1)
	h.ofClients.Add(1)
	return func() {
		h.ofClients.Add(-1)
		h.inFlight.Add(-1)
	}
}

// stopClients ends the clients' connections, and returns how many requests it
// cut.
func (h *Host) stopClients(ctx context.Context) int64 {
	if h.opts.StopClients == nil {
		return 0
	}
	return h.opts.StopClients(ctx)
}

// uncounted is how many requests are in flight that stopClients did not count:
// those of other hosts, whose connections are still to be closed.
func (h *Host) uncounted() int64 {
	if h.opts.StopClients == nil {
		return h.inFlight.Load()
	}
	return h.inFlight.Load() - h.ofClients.Load()
}

// idlePoll is the time between two looks whether a stopping host is idle.
const idlePoll = 20 * time.Millisecond

// waitIdle waits until nothing is in flight, or ctx ends.
func (h *Host) waitIdle(ctx context.Context) {
	for h.inFlight.Load() > 0 || h.services.Outstanding() > 0 || h.tickets.Running() > 0 {
		if !pause.For(ctx, idlePoll) {
			return
		}
	}
}
