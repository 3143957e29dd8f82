package entry

import (
	"time"

	"cairndock/internal/selector/member"
)

// What tests of a whole cluster look at inside a host.

// Tick is the pace of a host's own loop.
const Tick = tick

// Validated reports whether the host may send new work to upstreams.
func (h *Host) Validated() bool { return h.fence.Open() }

// Frozen reports whether the configuration may no longer be the newest.
func (h *Host) Frozen() bool { return h.config.Frozen() }

// CanSend reports whether the host has somewhere to send requests to.
func (h *Host) CanSend() bool { return h.canSend() }

// Forget drops what the host knows of another.
func (h *Host) Forget(host string) {
	h.peers.Update(func(p *member.Peers) { p.Forget(host) })
}

// Hears reports whether another host answers this one.
func (h *Host) Hears(host string) bool {
	p, known := h.peers.Get(host)
	return known && p.Up(time.Now())
}

// SentTo is how many bytes the host put on its link to a region.
func (h *Host) SentTo(region string) int64 { return h.links.Sent(region) }
