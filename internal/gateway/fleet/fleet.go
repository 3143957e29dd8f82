// Package fleet keeps what a host knows of the other hosts: who there is, who
// lives, and which part of a limit that holds for all together is its own.
package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/gateway/outlier"
)

// Host is one gateway host, as it tells of itself.
type Host struct {
	Name   string `msgpack:"n" json:"name"`
	Zone   string `msgpack:"z" json:"zone"`
	Region string `msgpack:"r" json:"region"`
	// PeerAddress is where other hosts reach it, and CallerAddress callers.
	PeerAddress   string `msgpack:"p" json:"peer_address"`
	ClientAddress string `msgpack:"c" json:"caller_address"`
	// Incarnation is one life of its process.
	Incarnation string `msgpack:"i" json:"incarnation"`
}

// Status is what a heartbeat tells besides.
type Status struct {
	// Ready says that callers may come, and Leaving that it will stop.
	Ready   bool `msgpack:"r,omitempty"`
	Leaving bool `msgpack:"l,omitempty"`
	// Changes has the version of the last change known of each table, in
	// the order of the tables' numbers, and Fresh says that the store has
	// confirmed them lately.
	Changes []int64 `msgpack:"c,omitempty"`
	Fresh   bool    `msgpack:"f,omitempty"`
	// Suspects are the upstreams that seem to be unwell.
	Observations []outlier.Observation `msgpack:"u,omitempty"`
}

// takesCallers reports whether callers should come.
func (s Status) acceptsClients() bool { return s.Ready && !s.Leaving }

const (
	// DeadAfter is the silence after which a host is taken for dead.
	DeadAfter = 2500 * time.Millisecond
	// forgetAfter is the silence after which a host no longer counts.
	forgetAfter = time.Minute
)

// Peer is another host, with what was last heard from it.
type Peer struct {
	Host   Host
	Status Status
	// HeardAt is when it was last heard from; zero is never.
	HeardAt time.Time
	// KnownAt is when the host was last told of it.
	KnownAt time.Time
	// followed says that the host exchanges heartbeats with it.
	heartbeats bool
}

// Alive reports whether the peer was heard from lately.
func (p *Peer) Alive(now time.Time) bool {
	return !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < DeadAfter
}

// Members is what one host knows of all. It is a plain state without locks.
type Members struct {
	self  Host
	peers map[string]*Peer
	// index is nil after a host has come or gone.
	index *index
	// followedFar names the hosts of other regions that are followed.
	remoteHeartbeats []string
}

// NewMembers makes the members of a host that knows only itself.
func NewMembers(self Host) *Members {
	return &Members{self: self, peers: map[string]*Peer{}}
}

// Self is the host itself.
func (m *Members) Self() Host { return m.self }

// Known adds a host that was told of, without a sign of life.
func (m *Members) AddKnown(h Host, now time.Time) {
	if h.Name == m.self.Name || h.Name == "" {
		return
	}
	p := m.peers[h.Name]
	if p == nil {
		p = &Peer{Host: h}
		m.peers[h.Name] = p
		m.index = nil
	}
	p.KnownAt = now
}

// Heard takes over a host's own word. It reports whether the host is one that
// this one exchanges heartbeats with, and was not alive before or is in
// another life.
func (m *Members) RecordHeartbeat(h Host, s Status, now time.Time) (back bool) {
	if h.Name == m.self.Name || h.Name == "" {
		return false
	}
	p := Peer{Host: h, Status: s, HeardAt: now, KnownAt: now, heartbeats: h.Region == m.self.Region}
	old := m.peers[h.Name]
	if old != nil {
		p.heartbeats = p.heartbeats || old.heartbeats
	}
	if old == nil || old.Host.Zone != h.Zone || old.Host.Region != h.Region {
		m.index = nil
	}
	m.peers[h.Name] = &p
	return p.heartbeats && (old == nil || !old.Alive(now) || old.Host.Incarnation != h.Incarnation)
}

// Silent forgets the peers that were not heard of for long, and gives those
// that this host exchanges heartbeats with and that have just been taken for
// dead since a moment.
func (m *Members) TakeExpired(since, now time.Time) []Host {
	var dead []Host
	for name, p := range m.peers {
		if p.heartbeats && p.Alive(since) && !p.Alive(now) {
			dead = append(dead, p.Host)
		}
		if last := later(p.HeardAt, p.KnownAt); now.Sub(last) > forgetAfter {
			m.forget(name)
		}
	}
	return dead
}

func (m *Members) forget(name string) {
	delete(m.peers, name)
	m.index = nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Peers gives all peers in the order of their names.
func (m *Members) Peers() []*Peer {
	return m.peersOf(m.indexed().names)
}

// Entries gives the addresses that callers of a zone and region should use:
// those of ready hosts in the zone, else in the region, else in the regions
// allowed, else anywhere. self tells of the host itself.
func (m *Members) ClientAddresses(zone, region string, self Status, allowed []string, now time.Time) []string {
	x := m.indexed()
	if found := m.ready(x.byZone[zone], m.self.Zone == zone, self, now); len(found) > 0 {
		return found
	}
	if found := m.ready(x.byRegion[region], m.self.Region == region, self, now); len(found) > 0 {
		return found
	}
	var found []string
	for _, r := range allowed {
		found = append(found, m.ready(x.byRegion[r], m.self.Region == r, self, now)...)
	}
	if len(found) > 0 {
		return found
	}
	return m.ready(x.names, true, self, now)
}

// ready gives the callers' addresses of those among some hosts that live and
// take callers, this one first if it is among them.
func (m *Members) ready(names []string, withSelf bool, self Status, now time.Time) []string {
	var addresses []string
	if withSelf && self.acceptsClients() {
		addresses = append(addresses, m.self.ClientAddress)
	}
	for _, name := range names {
		if p := m.peers[name]; p.Alive(now) && p.Status.acceptsClients() {
			addresses = append(addresses, p.Host.ClientAddress)
		}
	}
	return addresses
}

// Count gives how many hosts are known in all, how many of them in a region,
// and how many of those in the region live.
func (m *Members) Count(region string, now time.Time) (all, inRegion, alive int) {
	all = 1 + len(m.peers)
	if m.self.Region == region {
		inRegion, alive = 1, 1
	}
	for _, p := range m.peers {
		if p.Host.Region != region {
			continue
		}
		inRegion++
		if p.Alive(now) {
			alive++
		}
	}
	return all, inRegion, alive
}

const (
	// nearPart is the part of a cold upstream's rate that the hosts of its
	// region share, and farPart the one that the others share, which they
	// use only when no host of the region seems to live: hosts may differ
	// in what they believe, and both parts together must hold.
	ownRegionPart    = 0.6
	otherRegionsPart = 0.3
)

// ColdPart gives the host's part of the requests a second that a cold
// upstream of a region bears from all hosts together.
func (m *Members) WarmUpQuota(upstream, region string, total float64, now time.Time) int {
	near := m.self.Region == region
	if near {
		return m.hostShare(upstream, int(ownRegionPart*total), func(r string) bool { return r == region })
	}
	if _, _, alive := m.Count(region, now); alive > 0 {
		return 0
	}
	return m.hostShare(upstream, int(otherRegionsPart*total), func(r string) bool { return r != region })
}

// part splits a number evenly over the hosts of some regions, this one
// included. When there are more hosts than the number, each upstream has its
// own few hosts that get one each.
func (m *Members) hostShare(upstream string, number int, in func(region string) bool) int {
	hosts, before := 1, 0
	own := pairRank(m.self.Name, upstream)
	for _, p := range m.peers {
		if !in(p.Host.Region) {
			continue
		}
		hosts++
		if pairRank(p.Host.Name, upstream) < own {
			before++
		}
	}
	if hosts <= number {
		return number / hosts
	}
	if before < max(1, number) {
		return 1
	}
	return 0
}

// pairRank orders hosts differently for each upstream.
func pairRank(host, upstream string) uint64 { return xxhash.Sum64String(host + "/" + upstream) }
