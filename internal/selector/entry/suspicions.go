package entry

import (
	"context"
	"sync/atomic"
	"time"

	"cairndock/internal/poison"
	"cairndock/internal/selector/entry/suspicions"
	"cairndock/internal/selector/member"
)

// minNotifyInterval is the minimum time between two immediate reports of changed
// suspicions. Changes in between are sent with the regular heartbeats.
const minNotifyInterval = 250 * time.Millisecond

// suspicionObserver reports changes of a host's suspicions to other hosts and to
// the log.
type suspicionObserver struct {
	host *Host
	// reportedAt is the time of the latest immediate report, by the host's clock.
	reportedAt atomic.Int64
}

// SuspicionsChanged sends heartbeats to the host's own zone and to one host of each
// other zone. These hosts relay the changes that are new to them in the same way.
func (o *suspicionObserver) SuspicionsChanged() {
	h, now := o.host, o.host.now()
	last := o.reportedAt.Load()
	if now-last < int64(minNotifyInterval) || !o.reportedAt.CompareAndSwap(last, now) {
		return
	}
	h.heartbeats.NotifyZone()
	for _, c := range h.peers.OneOfEachZone() {
		go func(c member.Contact) { h.heartbeats.Send(context.Background(), c) }(c)
	}
}

// UpstreamTerminated does nothing, because the slots of a failed upstream become
// usable again when it responds.
func (o *suspicionObserver) UpstreamTerminated(string, time.Time) {}

// Quarantined logs that a request is refused.
func (o *suspicionObserver) Quarantined(q poison.Quarantine) {
	o.host.log.Warn().Str("fingerprint", q.Fingerprint.String()).Strs("upstreams", q.Runs).Msg("entry: request quarantined, refused from now on")
}

// Released logs that a request is no longer refused.
func (o *suspicionObserver) Released(f poison.Fingerprint, _ bool) {
	o.host.log.Info().Str("fingerprint", f.String()).Msg("entry: request released from quarantine")
}

// guard returns the guard that checks requests before the client sends them to
// upstreams.
func (h *Host) guard() *suspicions.Guard {
	return suspicions.New(suspicions.Options{
		Sender: h.client, Table: h.suspicions, Dial: h.opts.DialUpstream, Leaving: h.isLeaving, Log: h.log,
	})
}

// isLeaving reports whether an upstream of the zone accepts no new requests or is
// no longer in the configuration.
func (h *Host) isLeaving(name string) bool {
	u, ok := h.View().LocalUpstream(name)
	return !ok || h.upstreams.Leaving(u)
}
