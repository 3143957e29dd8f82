package fleet

import "time"

// farFanout is how many living hosts of each other region a host exchanges
// heartbeats with, so that heartbeats between regions grow with hosts and not
// with their square. About as many of each region choose this one.
const remoteFanout = 2

// Contacts gives the peers that the host exchanges heartbeats with: all of
// its own region, and of each other region the first in an order of its own
// until enough of them live. The dead before those are tried again, too.
func (m *Members) HeartbeatPeers(now time.Time) []*Peer {
	x := m.indexed()
	contacts := m.peersOf(x.byRegion[m.self.Region])
	for _, name := range m.remoteHeartbeats {
		if p := m.peers[name]; p != nil {
			p.heartbeats = false
		}
	}
	m.remoteHeartbeats = m.remoteHeartbeats[:0]
	for _, names := range x.remote {
		contacts = append(contacts, m.nearest(names, now)...)
	}
	for _, p := range contacts {
		p.heartbeats = true
	}
	return contacts
}

// nearest gives the first peers of another region until farFanout of them
// live, and notes that they are followed.
func (m *Members) nearest(names []string, now time.Time) []*Peer {
	var peers []*Peer
	alive := 0
	for _, name := range names {
		p := m.peers[name]
		peers = append(peers, p)
		m.remoteHeartbeats = append(m.remoteHeartbeats, name)
		if p.Alive(now) {
			alive++
		}
		if alive == remoteFanout {
			break
		}
	}
	return peers
}

// Region gives the hosts of the own region that live, this one included.
func (m *Members) Region(now time.Time) []Host {
	hosts := []Host{m.self}
	for _, p := range m.peersOf(m.indexed().byRegion[m.self.Region]) {
		if p.Alive(now) {
			hosts = append(hosts, p.Host)
		}
	}
	return hosts
}

// askEvery is how often a host asks one of each other region which hosts live
// there. It is far below forgetAfter.
const askEvery = 15 * time.Second

// asking is what a heartbeat wants to know of other hosts.
type hostQuery uint8

const (
	askNothing hostQuery = iota
	// askRegion asks for the hosts that live in the other's region.
	askRegion
	// askAll asks for all hosts that the other knows.
	askAll
)

// ask decides what a heartbeat to a peer asks for, and notes it; f.mu is held.
// A host that has just started asks one after the other for all hosts, until
// one has answered.
func (f *Fleet) ask(region string, now time.Time) hostQuery {
	every, what := askEvery, askRegion
	if !f.asked {
		region, every, what = "", heartbeatTimeout, askAll
	}
	if f.asked && (region == "" || region == f.members.Self().Region) {
		return askNothing
	}
	if now.Sub(f.askedAt[region]) < every {
		return askNothing
	}
	f.askedAt[region] = now
	return what
}

const (
	// hurryEvery bounds how often the hosts of the region are told news out
	// of turn, for each hurryHosts of them.
	sendSoonEvery = 250 * time.Millisecond
	sendSoonHosts = 30
)

// Hurry tells the hosts of the own region soon what the host's status says
// now.
func (f *Fleet) SendSoon() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	region := f.members.Region(now)
	pause := sendSoonEvery * time.Duration(1+len(region)/sendSoonHosts)
	if now.Sub(f.sentSoonAt) < pause {
		return
	}
	f.sentSoonAt = now
	for _, h := range region {
		f.next[h.Name] = now
	}
}
