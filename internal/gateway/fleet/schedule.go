package fleet

import "time"

const (
	// heartbeatInterval is the time between heartbeats to a peer that is alive. Three
	// intervals fit into deadTimeout.
	heartbeatInterval = 800 * time.Millisecond
	// deadHeartbeatInterval is the time between heartbeats to a peer that is dead.
	deadHeartbeatInterval = 2 * time.Second
	// schedulerTick is how often the host checks which peers are due a heartbeat and
	// which have died.
	schedulerTick = 200 * time.Millisecond
	// heartbeatTimeout bounds one exchange. It is shorter than heartbeatInterval, so
	// that exchanges with a peer do not accumulate.
	heartbeatTimeout = 700 * time.Millisecond
	// remoteFanout is how many live hosts of each other region get heartbeats. About as
	// many hosts of each region choose this host, so that traffic between regions grows
	// with the number of hosts and not with its square. With two hosts, one of them may
	// die.
	remoteFanout = 2
	// firstHostCount is how many hosts of a region exchange heartbeats with all other
	// hosts of the region. The other hosts do so with these and with the hosts of their
	// own zone, because they interact with no others. The number is high enough that a few
	// hosts may die at the same time.
	firstHostCount = 12
	// introductionPeriod is how long after its start a host exchanges a heartbeat with each
	// host of its region that it has not heard of yet. It includes the time until the list
	// of these hosts is read, which may be up to a second after the start.
	introductionPeriod = 4 * time.Second
	// maxDeadProbes is how many dead hosts of another region get a heartbeat at a time.
	// While that region is cut off, none of its hosts is alive, and without the bound
	// each host of this region would try all of them every deadHeartbeatInterval for as
	// long as the region is cut off.
	maxDeadProbes = 8
	// minTriggerInterval is the minimum time between status updates that are sent ahead
	// of schedule, for each triggerHostStep hosts of the region.
	minTriggerInterval = 250 * time.Millisecond
	// triggerHostStep is the number of hosts after which triggerInterval grows by
	// another minTriggerInterval, which bounds the cost for each host.
	triggerHostStep = 30
)

// heartbeatPeers returns the peers that get heartbeats: the peers of the own region with
// which this host exchanges them, and peers of each other region in this host's own
// order until remoteFanout of them are alive. Dead peers that precede those are tried as
// well, so that they are found when they return.
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
	targets := m.peersByName(m.heartbeatTargets)
	for _, p := range targets {
		p.getsHeartbeats = true
	}
	return targets
}

// regionPeers returns the peers of the own region with which this host exchanges
// heartbeats. A starting host exchanges one with each of the others as well, because they
// share limits with it and must learn of it.
func (m *members) regionPeers(now time.Time) []string {
	starting := now.Sub(m.started) < introductionPeriod
	first := m.firstHosts(now)
	var peers []string
	for _, name := range m.indexed().byRegion[m.self.Region] {
		p := m.peers[name]
		if first.exchanges(m.self, p.host) || starting && p.lastHeartbeat.Before(m.started) {
			peers = append(peers, name)
		}
	}
	return peers
}

// firstHosts are the names of the hosts of a region that exchange heartbeats with all
// other hosts of the region.
type firstHosts map[string]bool

// firstHosts returns the first hosts of the own region: the hosts in the order of rank
// until firstHostCount of them are not known to be dead. These hosts are advertised to
// clients first, and other hosts poll them.
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

// exchanges reports whether two hosts of a region exchange heartbeats: they are in the
// same zone, or at least one of them is among the first hosts.
func (f firstHosts) exchanges(a, b Host) bool {
	return a.Zone == b.Zone || f[a.Name] || f[b.Name]
}

// firstAlive returns the first remoteFanout of the given peers that are alive, and up to
// maxDeadProbes of the dead peers that precede them. If there are more dead peers, each
// deadHeartbeatInterval selects others of them.
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
		round := int(now.UnixNano() / int64(deadHeartbeatInterval))
		first := round * maxDeadProbes % n
		dead = append(dead[first:], dead[:first]...)[:maxDeadProbes]
	}
	return append(dead, alive...)
}

// heartbeatDelay returns the time from one heartbeat to a peer to the next.
func heartbeatDelay(alive bool) time.Duration {
	if alive {
		return heartbeatInterval
	}
	return deadHeartbeatInterval
}

// triggerInterval returns the minimum time between two heartbeats ahead of schedule for
// a number of hosts, including this one.
func triggerInterval(hosts int) time.Duration {
	return minTriggerInterval * time.Duration(1+hosts/triggerHostStep)
}

// due returns the peers that are due a heartbeat, and schedules their next ones.
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

// postpone schedules the next heartbeat to a peer that has just sent one. The response
// to the peer's heartbeat has the same content as a heartbeat.
func (f *Fleet) postpone(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextHeartbeat[name] = time.Now().Add(heartbeatInterval)
}

// TriggerHeartbeats makes heartbeats to the live hosts of the own region due now, so
// that they learn of a change of the status, such as an upstream's failure. It does
// nothing if it took effect less than triggerInterval ago.
func (f *Fleet) TriggerHeartbeats() { f.triggerHeartbeats(time.Now()) }

func (f *Fleet) triggerHeartbeats(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	region := f.members.aliveInRegion(now)
	if now.Sub(f.triggeredAt) < triggerInterval(len(region)) {
		return
	}
	f.triggeredAt = now
	f.cachedStatus.reset()
	for _, h := range region {
		f.nextHeartbeat[h.Name] = now
	}
}
