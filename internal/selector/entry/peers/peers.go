// Package peers holds a host's table of the other entry hosts, which all
// components of the host read.
//
// The package owns the member.Peers and their lock. Heartbeats, rosters and
// responses of other hosts update the table. While the lock is held, no other
// lock is acquired except that of the random source passed to WithMostFree.
package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/member"
)

// CallTimeout limits the time for one message to a peer and its reply, including
// heartbeats. It is below the 2 s of silence after which a peer receives no
// requests (package member).
const CallTimeout = 1500 * time.Millisecond

// Call sends a message to a host and returns its reply. It fails after
// CallTimeout.
func Call[T any](ctx context.Context, m *peer.Mesh, to member.Contact, kind peer.Kind, message any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return peer.Call[T](ctx, m, to.PeerAddr, kind, message)
}

// CallFirst calls hosts one after another until one replies, and reports whether
// one did. Errors are discarded, because heartbeats detect unresponsive hosts as
// well and the status shows them.
func CallFirst[T any](ctx context.Context, m *peer.Mesh, hosts []member.Contact, kind peer.Kind, message any) (T, bool) {
	for _, to := range hosts {
		if reply, err := Call[T](ctx, m, to, kind, message); err == nil {
			return reply, true
		}
	}
	var zero T
	return zero, false
}

// Table holds the known other hosts. It is safe for concurrent use.
type Table struct {
	host string
	zone string

	mu    sync.Mutex
	self  member.Contact
	peers *member.Peers
}

// New returns an empty Table for the host that self describes.
func New(self member.Contact) *Table {
	return &Table{host: self.Host, zone: self.Zone, self: self, peers: member.NewPeers(self)}
}

// SetSelf sets the contact of this host, once its addresses are known, and clears
// the table.
func (t *Table) SetSelf(self member.Contact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self, t.peers = self, member.NewPeers(self)
}

// Self returns the contact of this host.
func (t *Table) Self() member.Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update calls f with the peers while the lock is held. f must not retain them.
func (t *Table) Update(f func(p *member.Peers)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.peers)
}

// Get returns the peer with the given host name, and whether it is known.
func (t *Table) Get(host string) (member.Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Get(host)
}

// Zones returns the zones of the known hosts, sorted by name.
func (t *Table) Zones() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.peers.Zones())
}

// Zone returns the known hosts of a zone, sorted by name.
func (t *Table) Zone(zone string) []member.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Zone(zone)
}

// Contacts returns the contacts of a zone that may be announced to other hosts
// and clients. The contacts of the host's own zone include this host unless
// selfLeaving is set.
func (t *Table) Contacts(zone string, selfLeaving bool) []member.Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Contacts(zone, time.Now(), selfLeaving)
}

// ContactsByZone returns the result of Contacts for every zone.
func (t *Table) ContactsByZone(selfLeaving bool) map[string][]member.Contact {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string][]member.Contact{t.zone: t.peers.Contacts(t.zone, now, selfLeaving)}
	for _, zone := range t.peers.Zones() {
		out[zone] = t.peers.Contacts(zone, now, selfLeaving)
	}
	return out
}

// NearestContacts returns the contacts of all zones except this host, those
// of the host's own zone first.
func (t *Table) NearestContacts() []member.Contact {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.peers.Contacts(t.zone, now, true)
	for _, zone := range t.peers.Zones() {
		if zone != t.zone {
			out = append(out, t.peers.Contacts(zone, now, true)...)
		}
	}
	return out
}

// OneOfEachZone returns one contact of each other zone that has any.
func (t *Table) OneOfEachZone() []member.Contact {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []member.Contact
	for _, zone := range t.peers.Zones() {
		if zone == t.zone {
			continue
		}
		if contacts := t.peers.Contacts(zone, now, false); len(contacts) > 0 {
			out = append(out, contacts[0])
		}
	}
	return out
}

// AllContacts returns the contacts of all known hosts, including unresponsive
// ones.
func (t *Table) AllContacts() []member.Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []member.Contact
	for _, zone := range t.peers.Zones() {
		for _, p := range t.peers.Zone(zone) {
			out = append(out, p.Contact)
		}
	}
	return out
}

// UpContacts returns the contacts of the responsive hosts of a zone, sorted by
// host name.
func (t *Table) UpContacts(zone string) []member.Contact {
	now := time.Now()
	var out []member.Contact
	for _, p := range t.Zone(zone) {
		if p.Up(now) {
			out = append(out, p.Contact)
		}
	}
	return out
}

// UpNames returns the name of this host followed by the names of the responsive
// hosts of its zone.
func (t *Table) UpNames() []string {
	hosts := []string{t.host}
	for _, c := range t.UpContacts(t.zone) {
		hosts = append(hosts, c.Host)
	}
	return hosts
}

// AnyUp reports whether any other host is responsive.
func (t *Table) AnyUp() bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, zone := range t.peers.Zones() {
		if slices.ContainsFunc(t.peers.Zone(zone), func(p member.Peer) bool { return p.Up(now) }) {
			return true
		}
	}
	return false
}

// ForTicket returns the host to query for a ticket: the host to which a stopped
// issuer handed its tickets over, otherwise the issuer, otherwise, if anyOfZone
// is set, a host of the issuer's zone, which may have the issuer in its table.
func (t *Table) ForTicket(host, incarnation, zone string, anyOfZone bool) (member.Contact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if successor, ok := t.peers.Successor(incarnation); ok {
		return successor, true
	}
	if p, ok := t.peers.Get(host); ok {
		return p.Contact, true
	}
	if contacts := t.peers.Contacts(zone, time.Now(), true); anyOfZone && len(contacts) > 0 {
		return contacts[0], true
	}
	return member.Contact{}, false
}

// RecordFailure records that a host did not respond.
func (t *Table) RecordFailure(host string) {
	t.Update(func(p *member.Peers) { p.RecordFailure(host, time.Now()) })
}

// Learn adds hosts to the table.
func (t *Table) Learn(contacts []member.Contact) {
	t.Update(func(p *member.Peers) {
		for _, c := range contacts {
			p.AddKnown(c)
		}
	})
}
