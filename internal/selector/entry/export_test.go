package entry

import (
	"time"

	"cairndock/internal/selector/member"
)

// Accessors for the internals of a host, for tests with a cluster.

// Tick is the interval of a host's loop.
const Tick = tickInterval

// Validated reports whether the host may send new work to upstreams.
func (h *Host) Validated() bool { return h.fence.Open() }

// Frozen reports whether the configuration may no longer be the newest.
func (h *Host) Frozen() bool { return h.config.Frozen() }

// CanSend reports whether the host has a target for requests.
func (h *Host) CanSend() bool { return h.canSend() }

// Forget removes another host from the host's table of peers.
func (h *Host) Forget(host string) {
	h.peers.Update(func(p *member.Peers) { p.Forget(host) })
}

// IsPeerUp reports whether the host regards another host as responsive.
func (h *Host) IsPeerUp(host string) bool {
	p, known := h.peers.Get(host)
	return known && p.Up(time.Now())
}

// SentTo returns the number of bytes that the host sent on its link to a region.
func (h *Host) SentTo(region string) int64 { return h.links.Sent(region) }
