package member

import (
	"time"

	"cairndock/internal/selector/roster"
)

// Spent notes the size of an exchange in bytes.
func (p *Peers) Spent(bytes int) { p.exchange += (float64(bytes) - p.exchange) / 16 }

// intervals gives how often hosts of the own zone and of the others may be
// asked, so that asking and being asked stay within the budget.
func (p *Peers) intervals(near, far int) (nearEvery, farEvery time.Duration) {
	perSecond := BytesPerSecond / (2 * p.exchange)
	nearEvery = time.Duration(float64(near) / (perSecond * nearPart) * float64(time.Second))
	farEvery = time.Duration(float64(far) / (perSecond * (1 - nearPart)) * float64(time.Second))
	return max(Interval, nearEvery), max(FarInterval, farEvery)
}

// Asking notes that a heartbeat goes out to a host.
func (p *Peers) Asking(host string, now time.Time) {
	if peer, ok := p.peers[host]; ok {
		peer.AskedAt = now
		peer.Every = p.every[peer.Contact.Zone == p.self.Zone]
		p.peers[host] = peer
	}
}

// Due gives the hosts to send a heartbeat to now: a bounded number of the
// own zone and of each other zone, within the budget.
func (p *Peers) Due(now time.Time) []Contact {
	near := p.nearest(p.self.Zone, zoneFanout)
	var far []Peer
	for _, zone := range p.zones {
		if zone != p.self.Zone {
			far = append(far, p.nearest(zone, farFanout)...)
		}
	}
	nearEvery, farEvery := p.intervals(len(near), len(far))
	p.every[true], p.every[false] = nearEvery, farEvery
	out := due(near, now, nearEvery)
	return append(out, due(far, now, farEvery)...)
}

func due(peers []Peer, now time.Time, every time.Duration) []Contact {
	var out []Contact
	for _, peer := range peers {
		if now.Sub(peer.AskedAt) >= every {
			out = append(out, peer.Contact)
		}
	}
	return out
}

// nearest gives the hosts of a zone that this host watches: those first in
// its own rendezvous order, so that every host is watched by several.
func (p *Peers) nearest(zone string, n int) []Peer {
	all := p.Zone(zone)
	if len(all) <= n {
		return all
	}
	names := make([]string, 0, len(all))
	for _, peer := range all {
		names = append(names, peer.Contact.Host)
	}
	var out []Peer
	for _, name := range roster.Rank(p.self.Host, names)[:n] {
		out = append(out, p.peers[name])
	}
	return out
}
