// Package peers is what a host knows of the other entry hosts, for all of its
// duties to read.
//
// It owns the member.Peers and their lock. Heartbeats, rosters and responses
// of other hosts write it. No other lock is taken under its lock, but that of
// the random source given to WithMostFree.
package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/member"
)

// CallTimeout bounds one message to a peer and its reply, a heartbeat among
// them: it is below the 2 s of silence after which a peer gets no requests
// (package member).
const CallTimeout = 1500 * time.Millisecond

// Call sends a message to a host and gives its reply, within CallTimeout.
func Call[T any](ctx context.Context, m *peer.Mesh, to member.Contact, kind peer.Kind, message any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return peer.Call[T](ctx, m, to.PeerAddr, kind, message)
}

// CallFirst calls hosts one after another until one replies, and reports
// whether one did. Why a host did not is not kept: heartbeats find that out too,
// and the status shows hosts that do not answer.
func CallFirst[T any](ctx context.Context, m *peer.Mesh, hosts []member.Contact, kind peer.Kind, message any) (T, bool) {
	for _, to := range hosts {
		if reply, err := Call[T](ctx, m, to, kind, message); err == nil {
			return reply, true
		}
	}
	var none T
	return none, false
}

// Table is the other hosts as this host knows them.
type Table struct {
	host string
	zone string

	mu    sync.Mutex
	self  member.Contact
	peers *member.Peers
}

// New makes a Table of a host that knows no other.
func New(self member.Contact) *Table {
	return &Table{host: self.Host, zone: self.Zone, self: self, peers: member.NewPeers(self)}
}

// SetSelf starts the table over, once it is known how this host is reached.
func (t *Table) SetSelf(self member.Contact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self, t.peers = self, member.NewPeers(self)
}

// Self is how this host is reached.
func (t *Table) Self() member.Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update runs f on the peers. It must not keep them.
func (t *Table) Update(f func(p *member.Peers)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.peers)
}

// Get gives a host.
func (t *Table) Get(host string) (member.Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Get(host)
}

// Zones gives the zones of the known hosts, by name.
func (t *Table) Zones() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.peers.Zones())
}

// Zone gives the known hosts of a zone, by name.
func (t *Table) Zone(zone string) []member.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Zone(zone)
}

// Contacts gives the hosts of a zone that may be named to others, this one
// included unless it is leaving.
func (t *Table) Contacts(zone string, selfLeaving bool) []member.Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Contacts(zone, time.Now(), selfLeaving)
}

// ContactsByZone gives the contacts of every zone.
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

// NearestContacts gives the contacts of all zones but this host, its own zone
// first.
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

// OneOfEachZone gives one contact of each other zone.
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

// AllContacts gives how to reach every known host, answering or not.
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

// UpContacts gives the hosts of a zone that answer, by name.
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

// UpNames gives the names of this host and, after it, of the hosts of its zone
// that answer.
func (t *Table) UpNames() []string {
	hosts := []string{t.host}
	for _, c := range t.UpContacts(t.zone) {
		hosts = append(hosts, c.Host)
	}
	return hosts
}

// AnyUp reports whether any other host answers.
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

// ForTicket finds the host that a ticket's request goes to: the one that the
// stopped issuer handed its tickets to, else the issuer, else, with anyOfZone,
// a host of the issuer's zone, which may know.
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

// RecordFailure notes that a host did not answer.
func (t *Table) RecordFailure(host string) {
	t.Update(func(p *member.Peers) { p.RecordFailure(host, time.Now()) })
}

// Learn notes that hosts exist.
func (t *Table) Learn(contacts []member.Contact) {
	t.Update(func(p *member.Peers) {
		for _, c := range contacts {
			p.AddKnown(c)
		}
	})
}
