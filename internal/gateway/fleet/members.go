package fleet

import "time"

// members is a host's view of all hosts. It has no lock and no clock: Fleet
// guards it, and each method is given the time.
type members struct {
	self  Host
	peers map[string]*peerState
	// index is nil after the set of hosts has changed.
	index *index
	// remoteHeartbeats names the peers of other regions that were chosen for
	// heartbeats last.
	remoteHeartbeats []string
}

// newMembers returns the view of a host that knows only itself.
func newMembers(self Host) *members {
	return &members{self: self, peers: map[string]*peerState{}}
}

// addKnown adds a host that the registry or a peer has named. It does not make
// the host alive.
func (m *members) addKnown(h Host, now time.Time) {
	if h.Name == m.self.Name || h.Name == "" {
		return
	}
	p := m.peers[h.Name]
	if p == nil {
		p = &peerState{host: h}
		m.peers[h.Name] = p
		m.index = nil
	}
	p.lastReported = now
}

// recordHeartbeat records a peer's identity and status. It reports whether the
// peer is one that gets heartbeats and was dead, unknown or another
// incarnation, as its process has been restarted since.
func (m *members) recordHeartbeat(h Host, s Status, now time.Time) (regained bool) {
	if h.Name == m.self.Name || h.Name == "" {
		return false
	}
	p := peerState{host: h, status: s, lastHeartbeat: now, lastReported: now, getsHeartbeats: h.Region == m.self.Region}
	old := m.peers[h.Name]
	if old != nil {
		p.getsHeartbeats = p.getsHeartbeats || old.getsHeartbeats
	}
	if old == nil || old.host.Zone != h.Zone || old.host.Region != h.Region {
		m.index = nil
	}
	m.peers[h.Name] = &p
	return p.getsHeartbeats && (old == nil || !old.alive(now) || old.host.Incarnation != h.Incarnation)
}

// expire forgets the peers that have expired. It returns those that get
// heartbeats and have died since the last call, at the time since.
func (m *members) expire(since, now time.Time) []Host {
	var dead []Host
	for name, p := range m.peers {
		if p.getsHeartbeats && p.alive(since) && !p.alive(now) {
			dead = append(dead, p.host)
		}
		if p.expired(now) {
			m.forget(name)
		}
	}
	return dead
}

func (m *members) forget(name string) {
	delete(m.peers, name)
	m.index = nil
}

// all returns all peers in the order of their names.
func (m *members) all() []*peerState {
	return m.named(m.indexed().names)
}

// aliveInRegion returns the live hosts of this host's region, itself included.
func (m *members) aliveInRegion(now time.Time) []Host {
	hosts := []Host{m.self}
	for _, p := range m.named(m.indexed().byRegion[m.self.Region]) {
		if p.alive(now) {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// size is the number of known hosts, dead ones and this host included.
func (m *members) size() int { return 1 + len(m.peers) }

// anyAlive reports whether a peer in a region is alive.
func (m *members) anyAlive(region string, now time.Time) bool {
	for _, p := range m.peers {
		if p.host.Region == region && p.alive(now) {
			return true
		}
	}
	return false
}
