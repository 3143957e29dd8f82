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
// is the root, which polls the store. The live hosts of a region form a tree, in the order
// of rank. The first host of each zone is the zone's head. The first head polls the store,
// the next relayFanout heads poll it, and so on; the other hosts of a zone form such a tree
// below their head. The load on the store thus grows with the number of regions, and a
// change crosses the border of each zone once, whatever the number of hosts. Each host polls
// only hosts that precede it. The order depends only on announced properties of the hosts,
// so that there is no cycle even if the hosts differ in which hosts they see alive.
//
// A root that does not reach the store is skipped by all hosts, and polls one of them until it
// reaches the store again. While hosts differ in whether they know of it, two of them may poll
// each other; their replicas then age, and both fall back to other sources.
//
// Leaving hosts are skipped. Once this host is ready (selfReady), so are hosts that are
// not ready, because they may have nothing to relay. Before that they are included,
// because otherwise each of the hosts that start together would poll the store.
func (m *members) relayParent(selfReady bool, now time.Time) (parent Host, root bool) {
	candidates := m.zoneCandidates(selfReady, now)
	count := length(candidates)
	if count == 0 {
		candidates = m.headCandidates(selfReady, now)
		count = length(candidates)
	}
	if count == 0 {
		return m.self, true
	}
	position := (count - 1) / relayFanout
	for p := range candidates {
		if position == 0 {
			parent = p.host
			break
		}
		position--
	}
	return parent, false
}

// length returns the number of elements of a sequence.
func length(peers iter.Seq[*peerState]) int {
	count := 0
	for range peers {
		count++
	}
	return count
}

// relayCandidates returns the peers of the region that precede this host and may relay
// tables, by rank. If this host does not reach the store, peers that follow it may, too.
func (m *members) relayCandidates(selfReady bool, now time.Time) iter.Seq[*peerState] {
	return func(yield func(*peerState) bool) {
		for _, name := range m.indexed().byRank {
			if name != m.self.Name {
				if p := m.peers[name]; p.mayRelay(selfReady, now) && !yield(p) {
					return
				}
				continue
			}
			if !m.storeUnreachable {
				return
			}
		}
	}
}

// mayRelay reports whether the peer is alive, stays and reaches the store as far as known. A
// host that is ready (selfReady) uses only peers that are ready as well.
func (p *peerState) mayRelay(selfReady bool, now time.Time) bool {
	return p.alive(now) && !p.status.Leaving && !p.status.StoreUnreachable && (!selfReady || p.status.Ready)
}

// zoneCandidates returns the candidates of this host's zone.
func (m *members) zoneCandidates(selfReady bool, now time.Time) iter.Seq[*peerState] {
	return func(yield func(*peerState) bool) {
		for p := range m.relayCandidates(selfReady, now) {
			if p.host.Zone == m.self.Zone && !yield(p) {
				return
			}
		}
	}
}

// headCandidates returns the first candidate of each zone.
func (m *members) headCandidates(selfReady bool, now time.Time) iter.Seq[*peerState] {
	return func(yield func(*peerState) bool) {
		var zones []string
		for p := range m.relayCandidates(selfReady, now) {
			if slices.Contains(zones, p.host.Zone) {
				continue
			}
			zones = append(zones, p.host.Zone)
			if !yield(p) {
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
