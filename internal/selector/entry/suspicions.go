package entry

import (
	"context"
	"sync/atomic"
	"time"

	"cairndock/internal/poison"
	"cairndock/internal/selector/entry/suspicions"
	"cairndock/internal/selector/member"
)

// newsEvery bounds how often a host reports changes of suspicions at once; heartbeats
// bring the others.
const newsEvery = 250 * time.Millisecond

// suspicionObserver reports changes of a host's suspicions.
type suspicionObserver struct {
	host *Host
	// reportedAt is when it last did, by the host's clock.
	reportedAt atomic.Int64
}

// SuspicionsChanged tells the own zone and a host of each other zone, which do the same
// with what is news to them.
func (o *suspicionObserver) SuspicionsChanged() {
	h, now := o.host, o.host.now()
	last := o.reportedAt.Load()
	if now-last < int64(newsEvery) || !o.reportedAt.CompareAndSwap(last, now) {
		return
	}
	h.heartbeats.NotifyZone()
	for _, c := range h.peers.OneOfEachZone() {
		go func(c member.Contact) { h.heartbeats.Send(context.Background(), c) }(c)
	}
}

// UpstreamTerminated does nothing: the slots of an upstream that fails are back when it responds.
func (o *suspicionObserver) UpstreamTerminated(string, time.Time) {}

// Quarantined logs that a request is refused.
func (o *suspicionObserver) Quarantined(q poison.Quarantine) {
	o.host.log.Warn().Str("fingerprint", q.Fingerprint.String()).Strs("upstreams", q.Runs).Msg("entry: request quarantined, refused from now on")
}

// Released logs that a request is no longer refused.
func (o *suspicionObserver) Released(f poison.Fingerprint, _ bool) {
	o.host.log.Info().Str("fingerprint", f.String()).Msg("entry: request released from quarantine")
}

// guard makes what stands before the client that sends requests to upstreams.
func (h *Host) guard() *suspicions.Guard {
	return suspicions.New(suspicions.Options{
		Sender: h.client, Table: h.suspicions, Dial: h.opts.DialUpstream, Leaving: h.isLeaving, Log: h.log,
	})
}

// isLeaving reports whether an upstream of the zone takes no new work, or is gone from
// the configuration.
func (h *Host) isLeaving(name string) bool {
	u, ok := h.View().LocalUpstream(name)
	return !ok || h.upstreams.Leaving(u)
}
