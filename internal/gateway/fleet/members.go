package fleet

import "time"

// members is a host's view of all hosts. It has no lock and no clock: Fleet guards it
// and passes the time to each method.
type members struct {
	self Host
	// started is when the process of this host started.
	started time.Time
	peers   map[string]*peerState
	// withdrawn is set once the host stops. Hosts that start after that do not find it
	// in the registry.
	withdrawn bool
	// firstStart is set while the deployment starts for the first time. announcedBefore
	// is set once it is known that an earlier process of this host has announced it.
	firstStart, announcedBefore bool
	// heldShards is set once this process has held shards of limits.
	heldShards bool
	// storeUnreachable is set while this host reports Status.StoreUnreachable.
	storeUnreachable bool
	// lists has the time at which the list of hosts of each region was read completely
	// from the registry; zero if it was not read yet.
	lists map[string]time.Time
	// index is nil before its first use.
	index *index
	// heartbeatTargets are the names of the peers that were last selected for
	// heartbeats.
	heartbeatTargets []string
}

// newMembers returns the view of a host that knows only itself. started is when its
// process started, and regions are the regions of the deployment.
func newMembers(self Host, regions []string, started time.Time) *members {
	m := &members{self: self, started: started, peers: map[string]*peerState{}, lists: map[string]time.Time{}}
	for _, region := range regions {
		m.lists[region] = time.Time{}
	}
	return m
}

// addKnown adds a host that the registry or a peer has named. The host does not count as
// alive because of that.
func (m *members) addKnown(h Host, now time.Time) {
	if h.Name == m.self.Name || h.Name == "" {
		return
	}
	p := m.peers[h.Name]
	if p == nil {
		p = &peerState{host: h}
		m.peers[h.Name] = p
		m.addToIndex(h)
	}
	p.lastReported = now
}

// recordHeartbeat records a peer's identity and status. It reports whether the peer is
// among those that get heartbeats and was dead, unknown or of another incarnation, which
// means that its process was restarted.
func (m *members) recordHeartbeat(h Host, s Status, now time.Time) (regained bool) {
	if h.Name == m.self.Name || h.Name == "" {
		return false
	}
	p := peerState{host: h, status: s, lastHeartbeat: now, lastReported: now}
	old := m.peers[h.Name]
	if old != nil {
		p.getsHeartbeats = old.getsHeartbeats
		p.listedVersion, p.announcedAt = old.listedVersion, old.announcedAt
		if old.host.Incarnation == h.Incarnation {
			p.suspicions, p.loadsUpTo = old.suspicions, old.loadsUpTo
		}
	}
	moved := old != nil && (old.host.Zone != h.Zone || old.host.Region != h.Region || old.host.Capacity != h.Capacity)
	if moved {
		m.removeFromIndex(old.host)
	}
	m.peers[h.Name] = &p
	if old == nil || moved {
		m.addToIndex(h)
	}
	if old != nil && old.status.Withdrawn != s.Withdrawn {
		m.resetShares()
	}
	if old != nil && old.alive(now) && old.host.Incarnation == h.Incarnation {
		return false
	}
	p.getsHeartbeats = p.getsHeartbeats || h.Region == m.self.Region && m.firstHosts(now).exchanges(m.self, h)
	return p.getsHeartbeats
}

// expire forgets the peers that have expired. It returns the peers that get heartbeats
// and died between since, the time of the last call, and now.
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

// suspended ages all received data by the time for which the machine was suspended.
func (m *members) suspended(gap time.Duration) {
	for _, p := range m.peers {
		p.lastReported = p.lastReported.Add(-gap)
		if !p.lastHeartbeat.IsZero() {
			p.lastHeartbeat = p.lastHeartbeat.Add(-gap)
		}
	}
}

func (m *members) forget(name string) {
	if p := m.peers[name]; p != nil {
		m.removeFromIndex(p.host)
	}
	delete(m.peers, name)
}

// seenRecently returns the peers that were reported within advertisePeriod, sorted by
// name.
func (m *members) seenRecently(now time.Time) []Host {
	var hosts []Host
	for _, p := range m.peersByName(m.indexed().names) {
		if now.Sub(p.lastReported) < advertisePeriod {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// aliveInRegion returns the live hosts of this host's region, including this host.
func (m *members) aliveInRegion(now time.Time) []Host {
	hosts := []Host{m.self}
	for _, p := range m.peersByName(m.indexed().byRegion[m.self.Region]) {
		if p.alive(now) {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// size is the number of known hosts, including dead ones and this host.
func (m *members) size() int { return 1 + len(m.peers) }

// anyAlive reports whether a peer in a region is alive.
func (m *members) anyAlive(region string, now time.Time) bool {
	for _, name := range m.indexed().byRegion[region] {
		if m.peers[name].alive(now) {
			return true
		}
	}
	return false
}
