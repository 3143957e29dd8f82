// Package member knows the other entry hosts: who they are, what they last
// said in a heartbeat and which of them answer.
package member

import (
	"maps"
	"slices"
	"time"
)

const (
	// Interval is the least time between two heartbeats to a host of the
	// zone, and FarInterval to a host of another zone.
	Interval    = 500 * time.Millisecond
	FarInterval = time.Second
	// DownAfter is the least silence after which a host gets no requests.
	DownAfter = 2 * time.Second
	// LostAfter is the silence that must go with the host list's word
	// before a member's slots are given away.
	LostAfter = 5 * time.Second
	// BytesPerSecond is what one host may spend on heartbeats, asking and
	// answering, both ways. With more hosts each is asked less often.
	BytesPerSecond = 4000
	// nearPart is the part of that for the own zone.
	nearPart = 0.3
	// firstExchange stands for the size of an exchange until one is known.
	firstExchange = 300
	// zoneFanout bounds the hosts of the own zone that one host sends
	// heartbeats to, and farFanout those of each other zone, so that the
	// cost of a host does not grow with its zone.
	zoneFanout = 4
	farFanout  = 2
	// maxContacts bounds the hosts a zone names to others.
	maxContacts = 4
	// maxFarHosts bounds the hosts of another zone that are kept.
	maxFarHosts = 8
)

// Peer is another entry host. It is immutable.
type Peer struct {
	Contact Contact
	// Beat is its last heartbeat; zero before the first.
	Beat Heartbeat
	// HeardAt is when Beat was asked for.
	HeardAt time.Time
	// ToldAt is when it was asked for the slots it told last.
	ToldAt time.Time
	// AskedAt is when a heartbeat was last sent to it.
	AskedAt time.Time
	RTT     time.Duration
	// Every is how often it is asked now.
	Every time.Duration
	// ContactsHash is of the hosts it named last.
	ContactsHash uint64
	// FailedSince is when it stopped answering; zero when it answers.
	FailedSince time.Time
}

// Up reports whether requests may be sent to the peer. One that is asked
// rarely may be silent for longer; a request that fails there ends it.
func (p Peer) Up(now time.Time) bool {
	silence := max(DownAfter, 2*p.Every) + 2*p.RTT
	return !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < silence && p.FailedSince.IsZero() && !p.Beat.Leaving
}

// Peers is what one host knows of the others. It is a plain state; the
// caller brings locks and time.
type Peers struct {
	self  Contact
	peers map[string]Peer
	// byZone holds each zone's hosts, by name; zones the zones, by name.
	byZone     map[string][]string
	zones      []string
	successors map[string]successor // by incarnation
	// exchange is the moving average of an exchange's size in bytes.
	exchange float64
	// every is how often hosts are asked now: true for the own zone.
	every map[bool]time.Duration
}

// NewPeers makes an empty state.
func NewPeers(self Contact) *Peers {
	return &Peers{self: self, peers: map[string]Peer{}, byZone: map[string][]string{}, successors: map[string]successor{}, exchange: firstExchange, every: map[bool]time.Duration{}}
}

// Learn notes that a host exists. Of another zone only a few are kept: those
// that answer before those that do not.
func (p *Peers) Learn(c Contact) {
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
	if !known && !p.makeRoom(c.Zone) {
		return
	}
	if !known {
		p.index(c)
	}
	old.Contact = c
	old.FailedSince = time.Time{}
	p.peers[c.Host] = old
}

// makeRoom reports whether one more host of a zone may be kept.
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

func (p *Peers) index(c Contact) {
	hosts := p.byZone[c.Zone]
	if hosts == nil {
		i, _ := slices.BinarySearch(p.zones, c.Zone)
		p.zones = slices.Insert(p.zones, i, c.Zone)
	}
	i, _ := slices.BinarySearch(hosts, c.Host)
	p.byZone[c.Zone] = slices.Insert(hosts, i, c.Host)
}

// Heard takes in a heartbeat that was asked for at a time, or that came by
// itself, with rtt zero.
func (p *Peers) Heard(b Heartbeat, askedAt time.Time, rtt time.Duration) {
	p.Learn(b.Contact)
	peer, ok := p.peers[b.Contact.Host]
	if !ok || askedAt.Before(peer.HeardAt) {
		return
	}
	if b.Slots == nil {
		// An asker tells nothing of its slots; what it said last holds.
		b.Free, b.ZoneFree, b.ZoneHosts = peer.Beat.Free, peer.Beat.ZoneFree, peer.Beat.ZoneHosts
	}
	peer.Beat, peer.HeardAt, peer.FailedSince = b, askedAt, time.Time{}
	if b.Slots != nil {
		peer.ContactsHash, peer.ToldAt = b.ContactsHash, askedAt
	}
	if rtt > 0 {
		peer.RTT = smooth(peer.RTT, rtt)
	}
	p.peers[b.Contact.Host] = peer
}

func smooth(old, rtt time.Duration) time.Duration {
	if old == 0 {
		return rtt
	}
	return (old*7 + rtt) / 8
}

// Failed notes that a host did not answer.
func (p *Peers) Failed(host string, now time.Time) {
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

// Successor gives the host that goes on for a stopped incarnation's tickets.
func (p *Peers) Successor(incarnation string) (Contact, bool) {
	h, ok := p.successors[incarnation]
	if !ok {
		return Contact{}, false
	}
	peer, ok := p.peers[h.host]
	return peer.Contact, ok
}

// successor is who goes on for a stopped incarnation, and when that was told last.
type successor struct {
	host   string
	toldAt time.Time
}

// successorAge is how long an successor is remembered after it told of it last: it
// tells for as long as the tickets matter.
const successorAge = 5 * time.Minute

// NoteSuccessors takes in who goes on for whom, and forgets what is no longer
// told.
func (p *Peers) NoteSuccessors(hs []Handover, now time.Time) {
	for _, h := range hs {
		p.successors[h.Incarnation] = successor{h.Host, now}
	}
	if len(hs) > 0 {
		maps.DeleteFunc(p.successors, func(_ string, h successor) bool { return now.Sub(h.toldAt) > successorAge })
	}
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

// Zones gives the zones of the known hosts, by name. It must not be changed.
func (p *Peers) Zones() []string { return p.zones }

// Contacts gives the hosts that a zone's hosts name to others.
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

// NoteFree takes in slots that a host told between two heartbeats.
func (p *Peers) NoteFree(host string, f Free) {
	peer, ok := p.peers[host]
	if !ok {
		return
	}
	free := slices.Clone(peer.Beat.Free)
	for i := range free {
		if free[i].Service == f.Service {
			free[i] = f
		}
	}
	peer.Beat.Free = free
	p.peers[host] = peer
}

// NoteRevision takes in a revision that a host told between two heartbeats.
func (p *Peers) NoteRevision(host string, revision uint64) {
	peer, ok := p.peers[host]
	if ok && peer.Beat.Revision < revision {
		peer.Beat.Revision = revision
		p.peers[host] = peer
	}
}
