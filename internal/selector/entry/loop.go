package entry

import (
	"context"
	"time"
)

// tickInterval is the interval of the host's loop: half of the minimum time
// between two heartbeats to a host (package member).
const tickInterval = 250 * time.Millisecond

// loop calls tick at every interval, and early after a call of tickNow, until ctx
// ends.
func (h *Host) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// tick runs the periodic tasks of all components.
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

// tickNow makes the loop tick immediately, so that changes are sent to other hosts
// without delay.
func (h *Host) tickNow() {
	select {
	case h.wake <- struct{}{}:
	default: // a tick is already pending
	}
}

// refreshServices passes the latest zone reports to the services.
func (h *Host) refreshServices() {
	now := time.Now()
	h.services.Refresh(h.peers.ZoneReports(now), h.config.Frozen(), now, h.now())
}

// serveIfReady marks a starting host as serving once its configuration is proved
// to be the newest and it has a target for requests.
func (h *Host) serveIfReady() {
	if h.serving.Load() || h.config.Frozen() || !h.canSend() {
		return
	}
	if h.serving.CompareAndSwap(false, true) {
		h.log.Info().Uint64("revision", h.View().Revision()).Msg("entry: host is ready")
	}
}

// canSend reports whether the host holds slots or another host is responsive. It
// also returns true if the host's zone has no upstreams, because such a host
// never holds slots.
func (h *Host) canSend() bool {
	hasUpstreams := false
	for _, svc := range h.View().Services() {
		if h.services.Get(svc.Name).Gate.Load().Held > 0 {
			return true
		}
		hasUpstreams = hasUpstreams || len(svc.Local) > 0
	}
	return !hasUpstreams || h.peers.AnyUp()
}
