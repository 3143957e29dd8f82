// Package member knows the other entry hosts: who they are, what they last
// said in a heartbeat and which of them answer.
package member

import (
	"slices"
	"time"

	"cairndock/internal/roster"
)

const (
	// Interval is the time between two heartbeats to a host of the zone.
	Interval = 500 * time.Millisecond
	// FarInterval is the time between two to a host of another zone.
	FarInterval = time.Second
	// DownAfter is the silence after which a host gets no requests.
	DownAfter = 2 * time.Second
	// LostAfter is the silence that must go with the host list's word
	// before a member's slots are given away.
	LostAfter = 5 * time.Second
	// zoneFanout bounds the hosts of the own zone that one host sends
	// heartbeats to, and farFanout those of each other zone, so that the
	// cost of a host does not grow with the fleet.
	zoneFanout = 8
	farFanout  = 2
	// farPerTick bounds the other zones' hosts asked in one interval: with
	// many zones each is asked less often, within the same budget.
	farPerTick = 16
	// maxContacts bounds the hosts a zone names to others.
	maxContacts = 4
	// maxFarHosts bounds the hosts of another zone that are kept.
	maxFarHosts = 8
)

// Contact is how to reach an entry host.
type Contact struct {
	Host       string `msgpack:"h"`
	Zone       string `msgpack:"z"`
	PeerAddr   string `msgpack:"p"`
	CallerAddr string `msgpack:"c"`
}

// Free is a host's slots for one service: how many could be taken now, are
// held, and are trusted to the upstreams as warm as they are.
type Free struct {
	Service string `msgpack:"s"`
	Free    int    `msgpack:"f"`
	Held    int    `msgpack:"h"`
	Warm    int    `msgpack:"w"`
}

// Handover says that a host goes on for a stopped one's tickets.
type Handover struct {
	Incarnation string `msgpack:"i"`
	Host        string `msgpack:"h"`
}

// Sign is what a host knows of an upstream's instance.
type Sign struct {
	Upstream string `msgpack:"u"`
	Instance string `msgpack:"i"`
	// Leaving says that this instance wants no new work.
	Leaving bool `msgpack:"l"`
	// Seen says that the host itself probes the upstream and last saw this
	// instance.
	Seen bool `msgpack:"s"`
}

// Heartbeat is what hosts tell each other. Asking and answering are alike.
type Heartbeat struct {
	Contact     Contact `msgpack:"c"`
	Incarnation string  `msgpack:"i"`
	// Epoch is the newest roster epoch seen, and Acked the one beyond which
	// this host holds no slots. Both are of the host's own zone.
	Epoch uint64 `msgpack:"e"`
	Acked uint64 `msgpack:"a"`
	// Revision and Digest say which configuration is in force here.
	Revision uint64 `msgpack:"r"`
	Digest   uint64 `msgpack:"d"`
	// FreshAge is how long ago the platform's head is known to have been
	// Revision, in milliseconds; negative is never.
	FreshAge int64 `msgpack:"f"`
	Leaving  bool  `msgpack:"l"`
	// Free and ZoneFree are this host's slots and its zone's.
	Free     []Free `msgpack:"s"`
	ZoneFree []Free `msgpack:"z"`
	// ZoneHosts is how many hosts of the zone hold slots.
	ZoneHosts int       `msgpack:"n"`
	Contacts  []Contact `msgpack:"o"`
	// Signs are told within the zone only.
	Signs     []Sign     `msgpack:"g"`
	Handovers []Handover `msgpack:"t"`
}

// Peer is another entry host. It is immutable.
type Peer struct {
	Contact Contact
	// Beat is its last heartbeat; zero before the first.
	Beat Heartbeat
	// HeardAt is when Beat was asked for.
	HeardAt time.Time
	// AskedAt is when a heartbeat was last sent to it.
	AskedAt time.Time
	RTT     time.Duration
	// FailedSince is when it stopped answering; zero when it answers.
	FailedSince time.Time
}

// Up reports whether requests may be sent to the peer.
func (p Peer) Up(now time.Time) bool {
	return !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < DownAfter+p.slack() && p.FailedSince.IsZero() && !p.Beat.Leaving
}

// slack allows a far host that is asked rarely to be silent for longer.
func (p Peer) slack() time.Duration { return 2 * p.RTT }

// Peers is what one host knows of the others. It is a plain state; the
// caller brings locks and time.
type Peers struct {
	self  Contact
	peers map[string]Peer
	// byZone holds each zone's hosts, by name; zones the zones, by name.
	byZone map[string][]string
	zones  []string
	heirs  map[string]string // incarnation to host
}

// NewPeers makes an empty state.
func NewPeers(self Contact) *Peers {
	return &Peers{self: self, peers: map[string]Peer{}, byZone: map[string][]string{}, heirs: map[string]string{}}
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

// Asking notes that a heartbeat goes out to a host.
func (p *Peers) Asking(host string, now time.Time) {
	if peer, ok := p.peers[host]; ok {
		peer.AskedAt = now
		p.peers[host] = peer
	}
}

// Heard takes in a heartbeat that was asked for at a time, or that came by
// itself, with rtt zero.
func (p *Peers) Heard(b Heartbeat, askedAt time.Time, rtt time.Duration) {
	p.Learn(b.Contact)
	peer, ok := p.peers[b.Contact.Host]
	if !ok || askedAt.Before(peer.HeardAt) {
		return
	}
	peer.Beat, peer.HeardAt, peer.FailedSince = b, askedAt, time.Time{}
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

// Heir gives the host that goes on for a stopped incarnation's tickets.
func (p *Peers) Heir(incarnation string) (Contact, bool) {
	host, ok := p.heirs[incarnation]
	if !ok {
		return Contact{}, false
	}
	peer, ok := p.peers[host]
	return peer.Contact, ok
}

// NoteHeirs takes in who goes on for whom. Hosts tell what they know on, so
// that it reaches hosts that never talk to the heir.
func (p *Peers) NoteHeirs(hs []Handover) {
	for _, h := range hs {
		p.heirs[h.Incarnation] = h.Host
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

// Due gives the hosts to send a heartbeat to now: a bounded number of the
// own zone, and a few of each other zone, the longest unasked first.
func (p *Peers) Due(now time.Time) []Contact {
	near := due(p.nearest(p.self.Zone, zoneFanout), now, Interval)
	var far []Peer
	for _, zone := range p.Zones() {
		if zone != p.self.Zone {
			far = append(far, p.nearest(zone, farFanout)...)
		}
	}
	slices.SortStableFunc(far, func(a, b Peer) int { return a.AskedAt.Compare(b.AskedAt) })
	far = far[:min(len(far), farPerTick)]
	return append(near, due(far, now, FarInterval)...)
}

func due(peers []Peer, now time.Time, interval time.Duration) []Contact {
	var out []Contact
	for _, peer := range peers {
		if now.Sub(peer.AskedAt) >= interval {
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
