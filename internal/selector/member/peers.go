// Package member keeps what a host knows of the other hosts: how to reach them,
// what their last heartbeat said, and whether they respond. It decides which of
// them requests may be sent to (Peer.Up), and which are asked for a heartbeat now
// so that all heartbeats stay within a budget of bytes (Peers.Due).
//
// A heartbeat is a request and its response, alike in form. Package
// entry/heartbeats sends and serves them, and package entry/peers keeps the Peers
// under its lock. Who shares a zone's slots is not decided here but in package
// roster: silence alone takes no slot from a host. docs/design/heartbeats.md has
// the measurements and what was weighed.
package member

import (
	"slices"
	"time"
)

const (
	// maxContacts bounds the hosts that a zone names to others.
	maxContacts = 4
	// maxFarHosts bounds the hosts of another zone that are kept, so that the
	// host's own loop does not grow with the hosts of all zones: it took 6.5 ms
	// before they were bounded and indexed by zone, 1.7 ms after (commit "Make
	// control cheap at the planned size").
	maxFarHosts = 8
)

// Peers is what one host knows of the others. It has no lock; the caller passes
// in the time.
type Peers struct {
	self  Contact
	peers map[string]Peer
	// byZone holds each zone's hosts, by name; zones the zones, by name.
	byZone     map[string][]string
	zones      []string
	successors map[string]successor // by incarnation
	// exchange is the moving average of an exchange's size in bytes.
	exchange float64
	// nearEvery and farEvery are how often hosts of the own zone and of others
	// are asked now; zero before Due.
	nearEvery, farEvery time.Duration
}

// NewPeers makes the peers of a host that knows no other.
func NewPeers(self Contact) *Peers {
	return &Peers{
		self:       self,
		peers:      map[string]Peer{},
		byZone:     map[string][]string{},
		successors: map[string]successor{},
		exchange:   firstExchange,
	}
}

// AddKnown notes that a host exists. Of another zone only maxFarHosts are kept: a
// new one takes the place of one that does not respond, or is not kept.
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
		if !p.makeRoom(c.Zone) {
			return
		}
		p.index(c)
	}
	old.Contact = c
	old.FailedSince = time.Time{}
	p.peers[c.Host] = old
}

// makeRoom reports whether one more host of a zone may be kept, and forgets one
// that does not respond if that is needed.
func (p *Peers) makeRoom(zone string) bool {
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

// index adds a host to its zone.
func (p *Peers) index(c Contact) {
	hosts := p.byZone[c.Zone]
	if hosts == nil {
		i, _ := slices.BinarySearch(p.zones, c.Zone)
		p.zones = slices.Insert(p.zones, i, c.Zone)
	}
	i, _ := slices.BinarySearch(hosts, c.Host)
	p.byZone[c.Zone] = slices.Insert(hosts, i, c.Host)
}

// RecordHeartbeat notes a heartbeat: a response, by when it was asked for and its
// round trip, or a request, by when it came and a round trip of zero. One that is
// older than the last one known is dropped.
func (p *Peers) RecordHeartbeat(b Heartbeat, askedAt time.Time, rtt time.Duration) {
	p.AddKnown(b.Contact)
	peer, ok := p.peers[b.Contact.Host]
	if !ok || askedAt.Before(peer.HeardAt) {
		return
	}
	if b.Slots == nil {
		// A request has no slots: those of the last response still count.
		b.ServiceSlots, b.ZoneServiceSlots, b.ZoneHosts = peer.Heartbeat.ServiceSlots, peer.Heartbeat.ZoneServiceSlots, peer.Heartbeat.ZoneHosts
	} else {
		peer.ContactsHash, peer.SlotsAt = b.ContactsHash, askedAt
	}
	peer.Heartbeat, peer.HeardAt, peer.FailedSince = b, askedAt, time.Time{}
	if rtt > 0 {
		peer.RTT = smooth(peer.RTT, rtt)
	}
	p.peers[b.Contact.Host] = peer
}

// RecordFailure notes that a host did not respond, to a heartbeat or a request.
func (p *Peers) RecordFailure(host string, now time.Time) {
	peer, ok := p.peers[host]
	if ok && peer.FailedSince.IsZero() {
		peer.FailedSince = now
		p.peers[host] = peer
	}
}

// Forget drops a host.
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

// Get gives a host.
func (p *Peers) Get(host string) (Peer, bool) {
	peer, ok := p.peers[host]
	return peer, ok
}

// Zone gives the known hosts of a zone, by name.
func (p *Peers) Zone(zone string) []Peer {
	hosts := p.byZone[zone]
	out := make([]Peer, 0, len(hosts))
	for _, host := range hosts {
		out = append(out, p.peers[host])
	}
	return out
}

// Zones gives the zones of the known hosts, by name. The slice must not be
// changed.
func (p *Peers) Zones() []string { return p.zones }

// Contacts gives a few hosts of a zone that are up, to be named to others. Of the
// own zone it names this host first, unless that is leaving.
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

// RecordSlots notes a service's slots that a host sent with a response.
func (p *Peers) RecordSlots(host string, slots ServiceSlots) {
	peer, ok := p.peers[host]
	if !ok {
		return
	}
	free := slices.Clone(peer.Heartbeat.ServiceSlots)
	for i := range free {
		if free[i].Service == slots.Service {
			free[i] = slots
		}
	}
	peer.Heartbeat.ServiceSlots = free
	p.peers[host] = peer
}

// RecordRevision notes a configuration's revision that a host sent with a response.
func (p *Peers) RecordRevision(host string, revision uint64) {
	peer, ok := p.peers[host]
	if ok && peer.Heartbeat.Revision < revision {
		peer.Heartbeat.Revision = revision
		p.peers[host] = peer
	}
}
