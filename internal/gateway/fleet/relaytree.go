package fleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// relayFanout is how many hosts of a region poll the same peer, so that no host sends
// each change to all hosts of a large region.
const relayFanout = 6

// relayParent returns the peer whose replicas this host polls, or this host itself if it
// is the root, which polls the store. The live hosts of a region form a tree: in the
// order of rank, the first host polls the store, the next relayFanout hosts poll the
// first, and so on. The load on the store thus grows with the number of regions and not
// with the number of hosts. Each host polls only hosts that precede it. The order
// depends only on announced properties of the hosts, so that there is no cycle even if
// the hosts differ in which hosts they see alive.
//
// Leaving hosts are skipped. Once this host is ready (selfReady), so are hosts that are
// not ready, because they may have nothing to relay. Before that they are included,
// because otherwise each of the hosts that start together would poll the store.
func (m *members) relayParent(selfReady bool, now time.Time) (parent Host, root bool) {
	before := 0
	for range m.relayCandidates(selfReady, now) {
		before++
	}
	if before == 0 {
		return m.self, true
	}
	position := (before - 1) / relayFanout
	for name := range m.relayCandidates(selfReady, now) {
		if position == 0 {
			return m.peers[name].host, false
		}
		position--
	}
	return m.self, true // not reached: the position is below the number of candidates
}

// relayCandidates returns the peers that precede this host and may relay tables, by rank.
func (m *members) relayCandidates(selfReady bool, now time.Time) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, name := range m.indexed().byRank {
			if name == m.self.Name {
				return
			}
			p := m.peers[name]
			if p.alive(now) && !p.status.Leaving && (!selfReady || p.status.Ready) && !yield(name) {
				return
			}
		}
	}
}

// freshPeers returns up to count live peers whose replicas the store has recently
// confirmed, the nearest first, except the named one.
func (m *members) freshPeers(count int, except string, now time.Time) []Host {
	x := m.indexed()
	hosts := make([]Host, 0, count)
	add := func(names []string, distance int) {
		for _, name := range names {
			if len(hosts) == count {
				return
			}
			p := m.peers[name]
			if name != m.self.Name && name != except && p.alive(now) && p.status.Fresh && m.distance(p.host) == distance {
				hosts = append(hosts, p.host)
			}
		}
	}
	add(x.byRank, sameZone)
	add(x.byRank, sameRegion)
	if len(hosts) == count {
		return hosts
	}
	for _, region := range slices.Sorted(maps.Keys(x.remote)) {
		add(x.remote[region], otherRegion)
	}
	return hosts
}

// Distances of a host.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// distance returns whether a host is in this host's zone, in its region or elsewhere.
func (m *members) distance(h Host) int {
	switch {
	case h.Zone == m.self.Zone:
		return sameZone
	case h.Region == m.self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// byRank compares hosts by announced properties only: hosts of higher capacity come
// first, because the first hosts relay each change to others, then hosts are ordered by
// the hash of their names.
func byRank(a, b Host) int {
	if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
		return c
	}
	return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
}
