package entry

import (
	"context"
	"time"
)

// tick is the pace of the host's own loop: half of the least time between
// two heartbeats to a host (package member).
const tick = 250 * time.Millisecond

// loop ticks until ctx ends, and early when tickNow asks for it.
func (h *Host) loop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		h.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.wake:
		}
	}
}

// tick does what every duty has to do from time to time.
func (h *Host) tick(ctx context.Context) {
	h.fence.Tick(ctx, h.rosters.Prove)
	h.heartbeats.Tick(ctx)
	h.rosters.Settle()
	h.serveIfReady()
	h.refreshServices()
	h.directory.Refresh()
	h.tickets.ForgetExpired()
	h.suspicions.CleanUp(time.Now())
	h.links.Retune(ctx)
}

// tickNow makes the loop tick early, to send what changed to other hosts at once.
func (h *Host) tickNow() {
	select {
	case h.wake <- struct{}{}:
	default: // it is to tick already
	}
}

// refreshServices gives the services the latest reports of the zones.
func (h *Host) refreshServices() {
	now := time.Now()
	h.services.Refresh(h.peers.ZoneReports(now), h.config.Frozen(), now, h.now())
}

// serveIfReady opens a starting host to clients once its configuration is
// known to be the newest and there is somewhere to send requests to.
func (h *Host) serveIfReady() {
	if h.serving.Load() || h.config.Frozen() || !h.canSend() {
		return
	}
	if h.serving.CompareAndSwap(false, true) {
		h.log.Info().Uint64("revision", h.View().Revision()).Msg("entry: host is ready")
	}
}

// canSend reports whether the host holds slots or hears from another host.
// One whose zone has no upstreams at all has nothing to wait for.
func (h *Host) canSend() bool {
	waits := false
	for _, svc := range h.View().Services() {
		if h.services.Get(svc.Name).Gate.Load().Held > 0 {
			return true
		}
		waits = waits || len(svc.Local) > 0
	}
	return !waits || h.peers.AnyUp()
}
