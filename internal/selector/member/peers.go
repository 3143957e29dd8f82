// Package member holds the state that a host keeps about other hosts: how to reach them, their
// last heartbeats, and whether they respond. It decides to which hosts requests may
// be sent (Peer.Up), and to which hosts a heartbeat is due so that all heartbeats
// stay within a budget of bytes (Peers.Due).
//
// A heartbeat consists of a request and a response of the same form. Package
// entry/heartbeats sends and serves heartbeats, and package entry/peers guards the
// Peers by a lock. Package roster decides which hosts share a zone's slots: a host
// does not lose slots only because its heartbeats are missing.
// docs/design/heartbeats.md describes the measurements and alternatives.
package member

import (
	"slices"
	"time"
)

const (
	// maxContacts is the maximum number of hosts of a zone that are sent to other
	// hosts.
	maxContacts = 4
	// maxFarHosts is the maximum number of hosts that are kept for each other zone, so
	// that the duration of the host's control loop does not grow with the hosts of
	// all zones. With this limit and an index by zone, the duration fell from 6.5 ms
	// to 1.7 ms.
	maxFarHosts = 8
)

// Peers is the state that one host keeps about other hosts. It is not safe for
// concurrent use. The current time is passed to its methods.
type Peers struct {
	self  Contact
	peers map[string]Peer
	// byZone contains the names of each zone's hosts, sorted. zones contains the
	// names of the zones, sorted.
	byZone     map[string][]string
	zones      []string
	successors map[string]successor // by incarnation
	// exchangeBytes is the moving average of the size of an exchange.
	exchangeBytes float64
	// nearInterval and farInterval are the current heartbeat intervals for hosts of
	// the host's own zone and of other zones; zero before the first call of Due.
	nearInterval, farInterval time.Duration
}

// NewPeers returns the state of a host that has no peers yet.
func NewPeers(self Contact) *Peers {
	return &Peers{
		self:          self,
		peers:         map[string]Peer{},
		byZone:        map[string][]string{},
		successors:    map[string]successor{},
		exchangeBytes: initialExchangeBytes,
	}
}

// AddKnown adds a host. At most maxFarHosts hosts of another zone are kept: when they
// are reached, a new host replaces a host that does not respond; if all hosts respond,
// the new host is ignored.
func (p *Peers) AddKnown(c Contact) {
	if c.Host == "" || c.Host == p.self.Host || c.PeerAddr == "" {
		return
	}
	old, known := p.peers[c.Host]
	if known && old.Contact == c {
		return
	}
	if known && old.Contact.Zone != c.Zone {
		p.Forget(c.Host)
		known = false
	}
	if !known {
		if !p.ensureCapacity(c.Zone) {
			return
		}
		p.index(c)
	}
	old.Contact = c
	old.FailedSince = time.Time{}
	p.peers[c.Host] = old
}

// ensureCapacity reports whether one more host of a zone may be kept. If necessary, it
// removes a host that does not respond.
func (p *Peers) ensureCapacity(zone string) bool {
	if zone == p.self.Zone || len(p.byZone[zone]) < maxFarHosts {
		return true
	}
	for _, host := range p.byZone[zone] {
		if !p.peers[host].FailedSince.IsZero() {
			p.Forget(host)
			return true
		}
	}
	return false
}

// index adds a host to the index of its zone.
func (p *Peers) index(c Contact) {
	hosts := p.byZone[c.Zone]
	if hosts == nil {
		i, _ := slices.BinarySearch(p.zones, c.Zone)
		p.zones = slices.Insert(p.zones, i, c.Zone)
	}
	i, _ := slices.BinarySearch(hosts, c.Host)
	p.byZone[c.Zone] = slices.Insert(hosts, i, c.Host)
}

// RecordHeartbeat records a heartbeat. For a response, at is the time of its request and
// rtt the round-trip time. For a request, at is the time of its arrival and rtt is zero.
// A heartbeat that is older than the last recorded heartbeat is ignored.
func (p *Peers) RecordHeartbeat(b Heartbeat, at time.Time, rtt time.Duration) {
	p.AddKnown(b.Contact)
	peer, ok := p.peers[b.Contact.Host]
	if !ok || at.Before(peer.LastSeen) {
		return
	}
	if b.Slots == nil {
		// A request contains no slots. The slots of the last response are kept.
		b.ServiceSlots, b.ZoneServiceSlots, b.ZoneHosts = peer.Heartbeat.ServiceSlots, peer.Heartbeat.ZoneServiceSlots, peer.Heartbeat.ZoneHosts
	} else {
		peer.ContactsHash, peer.SlotsAt = b.ContactsHash, at
	}
	peer.Heartbeat, peer.LastSeen, peer.FailedSince = b, at, time.Time{}
	if rtt > 0 {
		peer.RTT = smooth(peer.RTT, rtt)
	}
	p.peers[b.Contact.Host] = peer
}

// RecordFailure records that a host did not respond to a heartbeat or a request.
func (p *Peers) RecordFailure(host string, now time.Time) {
	peer, ok := p.peers[host]
	if ok && peer.FailedSince.IsZero() {
		peer.FailedSince = now
		p.peers[host] = peer
	}
}

// Forget removes a host.
func (p *Peers) Forget(host string) {
	zone := p.peers[host].Contact.Zone
	delete(p.peers, host)
	hosts := slices.DeleteFunc(slices.Clone(p.byZone[zone]), func(h string) bool { return h == host })
	p.byZone[zone] = hosts
	if len(hosts) == 0 {
		delete(p.byZone, zone)
		p.zones = slices.DeleteFunc(slices.Clone(p.zones), func(z string) bool { return z == zone })
	}
}

// Get returns the state of a host, and whether the host is known.
func (p *Peers) Get(host string) (Peer, bool) {
	peer, ok := p.peers[host]
	return peer, ok
}

// Zone returns the known hosts of a zone, sorted by name.
func (p *Peers) Zone(zone string) []Peer {
	hosts := p.byZone[zone]
	out := make([]Peer, 0, len(hosts))
	for _, host := range hosts {
		out = append(out, p.peers[host])
	}
	return out
}

// Zones returns the names of the zones of the known hosts, sorted. The slice must not
// be modified.
func (p *Peers) Zones() []string { return p.zones }

// Contacts returns at most maxContacts hosts of a zone that are up, to be sent to other
// hosts. For the host's own zone the first contact is the host itself, unless
// selfLeaving is set.
func (p *Peers) Contacts(zone string, now time.Time, selfLeaving bool) []Contact {
	var out []Contact
	if zone == p.self.Zone && !selfLeaving {
		out = append(out, p.self)
	}
	for _, host := range p.byZone[zone] {
		if peer := p.peers[host]; len(out) < maxContacts && peer.Up(now) {
			out = append(out, peer.Contact)
		}
	}
	return out
}

// RecordSlots records the slots of a service that a host sent with a response.
func (p *Peers) RecordSlots(host string, slots ServiceSlots) {
	peer, ok := p.peers[host]
	if !ok {
		return
	}
	updated := slices.Clone(peer.Heartbeat.ServiceSlots)
	for i := range updated {
		if updated[i].Service == slots.Service {
			updated[i] = slots
		}
	}
	peer.Heartbeat.ServiceSlots = updated
	p.peers[host] = peer
}

// RecordRevision records the configuration revision that a host sent with a response.
func (p *Peers) RecordRevision(host string, revision uint64) {
	peer, ok := p.peers[host]
	if ok && peer.Heartbeat.Revision < revision {
		peer.Heartbeat.Revision = revision
		p.peers[host] = peer
	}
}
