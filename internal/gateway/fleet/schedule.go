package fleet

import "time"

const (
	// heartbeatInterval is the time between heartbeats to a peer that is alive:
	// three fit into deadTimeout.
	heartbeatInterval = 800 * time.Millisecond
	// deadHeartbeatInterval is the time between heartbeats to a peer that is dead.
	deadHeartbeatInterval = 2 * time.Second
	// schedulerTick is how often the host looks which peers are due a
	// heartbeat and which have died.
	schedulerTick = 200 * time.Millisecond
	// heartbeatTimeout bounds one exchange. It is below heartbeatInterval, so
	// that exchanges with a peer do not pile up.
	heartbeatTimeout = 700 * time.Millisecond
	// remoteFanout is how many live hosts of each other region get heartbeats.
	// About as many of each region choose this host, so that traffic between
	// regions grows with hosts and not with their square: 0.136 to 0.073 GB on
	// a calm day with 80 hosts, against heartbeats to all. Two, so that one
	// may die; other figures were not measured.
	remoteFanout = 2
	// firstHostCount is how many hosts of a region exchange heartbeats with all others
	// of it. The others do so with these and with those of their own zone: with all,
	// each of 98 hosts of a region sent and received 30 KB a second, five sixths of it
	// about hosts that it has nothing to do with. Enough that any few may die at once.
	firstHostCount = 12
	// introductionPeriod is how long a host exchanges heartbeats with all of its region after
	// its start. It covers the list of them, which it may read up to a second later.
	introductionPeriod = 4 * time.Second
	// maxDeadProbes is how many dead hosts of another region get a heartbeat at a
	// time. While that region is cut off none of its hosts lives, and each host of
	// this one would try all of them every deadHeartbeatInterval: 128 connections a second
	// with 257 hosts, for as long as the cut lasts.
	maxDeadProbes = 8
	// minTriggerInterval bounds how often status is sent out of turn, for each
	// triggerHostStep hosts of the region.
	minTriggerInterval = 250 * time.Millisecond
	// triggerHostStep is the number of hosts in the region from which on
	// minTriggerInterval is doubled, and so on, to keep the cost a host bounded.
	triggerHostStep = 30
)

// heartbeatPeers returns the peers that get heartbeats: those of the own region
// that this host exchanges them with; and of each other region the first in this
// host's own order until remoteFanout of them live. The dead ones before those are
// tried as well, so that they are found when they return.
func (m *members) heartbeatPeers(now time.Time) []*peerState {
	x := m.indexed()
	for _, name := range m.heartbeatTargets {
		if p := m.peers[name]; p != nil {
			p.getsHeartbeats = false
		}
	}
	m.heartbeatTargets = append(m.heartbeatTargets[:0], m.regionPeers(now)...)
	for _, names := range x.remote {
		m.heartbeatTargets = append(m.heartbeatTargets, m.firstAlive(names, now)...)
	}
	chosen := m.peersByName(m.heartbeatTargets)
	for _, p := range chosen {
		p.getsHeartbeats = true
	}
	return chosen
}

// regionPeers returns the peers of the own region that this host exchanges heartbeats
// with. A host that starts exchanges them with all, as those share limits with it and
// must know of it.
func (m *members) regionPeers(now time.Time) []string {
	names := m.indexed().byRegion[m.self.Region]
	if now.Sub(m.started) < introductionPeriod {
		return names
	}
	first := m.firstHosts(now)
	var peers []string
	for _, name := range names {
		if first.exchanges(m.self, m.peers[name].host) {
			peers = append(peers, name)
		}
	}
	return peers
}

// firstHosts are the names of the hosts of a region that exchange heartbeats with all
// others of it.
type firstHosts map[string]bool

// firstHosts returns those of the own region: by rank, until firstHostCount of them are
// not known to be dead. They are the hosts that clients are given first, and those that
// others poll.
func (m *members) firstHosts(now time.Time) firstHosts {
	first, left := firstHosts{}, firstHostCount
	for _, name := range m.indexed().byRank {
		first[name] = true
		if p := m.peers[name]; p == nil || p.lastHeartbeat.IsZero() || p.alive(now) {
			left--
		}
		if left == 0 {
			break
		}
	}
	return first
}

// exchanges reports whether two hosts of a region exchange heartbeats: they are of one
// zone, or one of them is among the first.
func (f firstHosts) exchanges(a, b Host) bool {
	return a.Zone == b.Zone || f[a.Name] || f[b.Name]
}

// firstAlive returns the first remoteFanout of some peers that are alive, and of the
// dead ones before them maxDeadProbes, others each deadHeartbeatInterval.
func (m *members) firstAlive(names []string, now time.Time) []string {
	var alive, dead []string
	for _, name := range names {
		if !m.peers[name].alive(now) {
			dead = append(dead, name)
			continue
		}
		alive = append(alive, name)
		if len(alive) == remoteFanout {
			break
		}
	}
	if n := len(dead); n > maxDeadProbes {
		turn := int(now.UnixNano() / int64(deadHeartbeatInterval))
		first := turn * maxDeadProbes % n
		dead = append(dead[first:], dead[:first]...)[:maxDeadProbes]
	}
	return append(dead, alive...)
}

// heartbeatDelay is the time from one heartbeat to a peer to the next.
func heartbeatDelay(alive bool) time.Duration {
	if alive {
		return heartbeatInterval
	}
	return deadHeartbeatInterval
}

// triggerInterval is the least time between two heartbeats out of turn to a
// region of some hosts, this one included.
func triggerInterval(hosts int) time.Duration {
	return minTriggerInterval * time.Duration(1+hosts/triggerHostStep)
}

// due returns the peers that are due a heartbeat, and schedules the next ones.
func (f *Fleet) due(now time.Time) []*peerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []*peerState
	for _, p := range f.members.heartbeatPeers(now) {
		name := p.host.Name
		if now.Before(f.nextHeartbeat[name]) {
			continue
		}
		f.nextHeartbeat[name] = now.Add(heartbeatDelay(p.alive(now)))
		due = append(due, p)
	}
	return due
}

// postpone schedules the next heartbeat to a peer that has just sent one. The
// response to it has all that a heartbeat would have.
func (f *Fleet) postpone(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextHeartbeat[name] = time.Now().Add(heartbeatInterval)
}

// SendSoon makes heartbeats to the live hosts of the own region due now, so
// that they learn of a change of the status, such as an upstream's failure. It
// does nothing if it took effect less than triggerInterval ago.
func (f *Fleet) SendSoon() { f.triggerHeartbeats(time.Now()) }

func (f *Fleet) triggerHeartbeats(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	region := f.members.aliveInRegion(now)
	if now.Sub(f.triggeredAt) < triggerInterval(len(region)) {
		return
	}
	f.triggeredAt = now
	for _, h := range region {
		f.nextHeartbeat[h.Name] = now
	}
}
