package member

import (
	"time"

	"cairndock/internal/selector/roster"
)

const (
	// minNearInterval is the minimum time between two heartbeats to a host of the same
	// zone.
	minNearInterval = 500 * time.Millisecond
	// minFarInterval is the minimum time between two heartbeats to a host of another
	// zone.
	minFarInterval = time.Second
	// maxBytesPerSecond is the heartbeat budget of one host, for sent and received
	// requests and responses. The requirements allow 4 KB per second for control
	// traffic (docs/CAPACITY.md). With more hosts, each host receives heartbeats
	// less often.
	maxBytesPerSecond = 4000
	// nearFraction is the fraction of the budget for the host's own zone.
	nearFraction = 0.3
	// initialExchangeBytes is the size assumed for an exchange until a size is known.
	// An exchange had 208 bytes with 2 services and 332 bytes with 22 services
	// (docs/design/heartbeats.md).
	initialExchangeBytes = 300
	// exchangeSamples is the number of exchanges over which their size is averaged.
	exchangeSamples = 16
	// nearFanout is the maximum number of hosts of the same zone to which a host sends
	// heartbeats, so that the cost does not grow with the zone. A full mesh of 74
	// hosts used more than 70 KB per second (docs/design/heartbeats.md).
	nearFanout = 4
	// farFanout is the maximum number of hosts of each other zone to which a host
	// sends heartbeats.
	farFanout = 2
)

// RecordExchange records the size of an exchange in bytes.
func (p *Peers) RecordExchange(bytes int) {
	p.exchangeBytes += (float64(bytes) - p.exchangeBytes) / exchangeSamples
}

// intervals returns the heartbeat intervals for the given numbers of hosts in the same
// zone (near) and in other zones (far), so that all heartbeats stay within the budget.
// exchangeBytes is the size of an exchange. Half of the budget is for exchanges that
// this host starts, the other half for exchanges that other hosts start.
func intervals(near, far int, exchangeBytes float64) (nearInterval, farInterval time.Duration) {
	perSecond := maxBytesPerSecond / (2 * exchangeBytes)
	nearInterval = time.Duration(float64(near) / (perSecond * nearFraction) * float64(time.Second))
	farInterval = time.Duration(float64(far) / (perSecond * (1 - nearFraction)) * float64(time.Second))
	return max(minNearInterval, nearInterval), max(minFarInterval, farInterval)
}

// RecordSent records that a heartbeat is sent to a host.
func (p *Peers) RecordSent(host string, now time.Time) {
	if peer, ok := p.peers[host]; ok {
		peer.LastSentAt = now
		peer.Interval = p.farInterval
		if peer.Contact.Zone == p.self.Zone {
			peer.Interval = p.nearInterval
		}
		p.peers[host] = peer
	}
}

// Due returns the hosts to which a heartbeat is due: a bounded number of hosts of the
// host's own zone and of each other zone, within the budget.
func (p *Peers) Due(now time.Time) []Contact {
	near := p.targets(p.self.Zone, nearFanout)
	var far []Peer
	for _, zone := range p.zones {
		if zone != p.self.Zone {
			far = append(far, p.targets(zone, farFanout)...)
		}
	}
	p.nearInterval, p.farInterval = intervals(len(near), len(far), p.exchangeBytes)
	out := due(near, now, p.nearInterval)
	return append(out, due(far, now, p.farInterval)...)
}

// due returns the peers whose last heartbeat was sent at least one interval ago.
func due(peers []Peer, now time.Time, interval time.Duration) []Contact {
	var out []Contact
	for _, peer := range peers {
		if now.Sub(peer.LastSentAt) >= interval {
			out = append(out, peer.Contact)
		}
	}
	return out
}

// targets returns at most n hosts of a zone, to which this host sends heartbeats. They
// are the first hosts in this host's own rendezvous order, so that each host receives
// heartbeats from several hosts.
func (p *Peers) targets(zone string, n int) []Peer {
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
