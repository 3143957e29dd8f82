package member

import (
	"time"

	"cairndock/internal/selector/roster"
)

const (
	// nearInterval is the least time between two heartbeats to a host of the own
	// zone.
	nearInterval = 500 * time.Millisecond
	// farInterval is the same for a host of another zone.
	farInterval = time.Second
	// bytesPerSecond is what one host may spend on heartbeats, asking and
	// responding, both ways: the users' 4 KB a second for control
	// (docs/CAPACITY.md). With more hosts each is asked less often.
	bytesPerSecond = 4000
	// nearPart is the part of that for the own zone.
	nearPart = 0.3
	// firstExchange stands for the size of an exchange, in bytes, until one is
	// known: it was 208 at 2 services and 332 at 22 (docs/design/heartbeats.md).
	firstExchange = 300
	// exchangeSamples is how many exchanges the average of their size goes back.
	exchangeSamples = 16
	// zoneFanout bounds the hosts of the own zone that a host asks, so that its
	// cost does not grow with the zone: a full mesh of 74 hosts cost over 70 KB a
	// second (docs/design/heartbeats.md).
	zoneFanout = 4
	// farFanout is the same for each other zone.
	farFanout = 2
)

// RecordExchange notes the size of an exchange in bytes.
func (p *Peers) RecordExchange(bytes int) {
	p.exchange += (float64(bytes) - p.exchange) / exchangeSamples
}

// intervals gives how often to ask near and far hosts, as many as given, so that
// asking them and being asked stay within the budget. exchange is the size of
// an exchange in bytes; half of the budget is for asking.
func intervals(near, far int, exchange float64) (nearEvery, farEvery time.Duration) {
	perSecond := bytesPerSecond / (2 * exchange)
	nearEvery = time.Duration(float64(near) / (perSecond * nearPart) * float64(time.Second))
	farEvery = time.Duration(float64(far) / (perSecond * (1 - nearPart)) * float64(time.Second))
	return max(nearInterval, nearEvery), max(farInterval, farEvery)
}

// RecordSent notes that a heartbeat goes out to a host.
func (p *Peers) RecordSent(host string, now time.Time) {
	if peer, ok := p.peers[host]; ok {
		peer.AskedAt = now
		peer.Every = p.farEvery
		if peer.Contact.Zone == p.self.Zone {
			peer.Every = p.nearEvery
		}
		p.peers[host] = peer
	}
}

// Due gives the hosts to send a heartbeat to now: a bounded number of the
// own zone and of each other zone, within the budget.
func (p *Peers) Due(now time.Time) []Contact {
	near := p.watched(p.self.Zone, zoneFanout)
	var far []Peer
	for _, zone := range p.zones {
		if zone != p.self.Zone {
			far = append(far, p.watched(zone, farFanout)...)
		}
	}
	p.nearEvery, p.farEvery = intervals(len(near), len(far), p.exchange)
	out := due(near, now, p.nearEvery)
	return append(out, due(far, now, p.farEvery)...)
}

// due gives the peers that were not asked for an interval.
func due(peers []Peer, now time.Time, every time.Duration) []Contact {
	var out []Contact
	for _, peer := range peers {
		if now.Sub(peer.AskedAt) >= every {
			out = append(out, peer.Contact)
		}
	}
	return out
}

// watched gives the hosts of a zone that this host asks, at most n: the first in
// its own rendezvous order, so that each host is asked by several.
func (p *Peers) watched(zone string, n int) []Peer {
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
