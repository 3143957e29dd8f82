package fleet

import (
	"cmp"
	"slices"

	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/rendezvous"
)

// index has the names of the known peers in sorted order, so that frequent look-ups do
// not sort them. A peer that is added, forgotten or changed is put into it or taken out of
// it. While a whole fleet starts, each host learns of all others one by one, and an index
// that is built anew for each of them would grow with the square of the number of hosts.
type index struct {
	// names are the names of all peers, sorted.
	names []string
	// byZone has the peers of each zone, sorted by name.
	byZone map[string][]string
	// byRegion has the peers of each region, sorted by name.
	byRegion map[string][]string
	// byRank has the hosts of the own region, including this one, sorted by rank.
	byRank []string
	// remote has the peers of each other region, in the order that is specific to this
	// host.
	remote map[string][]string
	// sharers caches the results of members.sharers.
	sharers map[string]sharers
	// layout caches the result of members.layout; nil before its first use.
	layout *quota.Layout
}

// indexed returns the index of the currently known peers.
func (m *members) indexed() *index {
	if m.index == nil {
		m.index = m.newIndex()
	}
	return m.index
}

func (m *members) newIndex() *index {
	x := &index{byZone: map[string][]string{}, byRegion: map[string][]string{}, remote: map[string][]string{}, sharers: map[string]sharers{}}
	for name := range m.peers {
		x.names = append(x.names, name)
	}
	slices.Sort(x.names)
	for _, name := range x.names {
		h := m.peers[name].host
		x.byZone[h.Zone] = append(x.byZone[h.Zone], name)
		x.byRegion[h.Region] = append(x.byRegion[h.Region], name)
	}
	x.byRank = m.byRank(x.byRegion[m.self.Region])
	for region, names := range x.byRegion {
		if region != m.self.Region {
			x.remote[region] = m.ranked(names)
		}
	}
	return x
}

// addToIndex adds a peer, which is in m.peers, to the index if there is one.
func (m *members) addToIndex(h Host) { m.changeIndex(h, insert) }

// removeFromIndex removes a peer, which is still in m.peers, from the index.
func (m *members) removeFromIndex(h Host) { m.changeIndex(h, remove) }

// changeIndex changes the lists of the index that a peer belongs to.
func (m *members) changeIndex(h Host, change func(names []string, name string, compare func(a, b string) int) []string) {
	x := m.index
	if x == nil {
		return
	}
	x.names = change(x.names, h.Name, cmp.Compare)
	x.byZone[h.Zone] = change(x.byZone[h.Zone], h.Name, cmp.Compare)
	x.byRegion[h.Region] = change(x.byRegion[h.Region], h.Name, cmp.Compare)
	if h.Region == m.self.Region {
		x.byRank = change(x.byRank, h.Name, m.compareRank)
	} else {
		x.remote[h.Region] = change(x.remote[h.Region], h.Name, m.compareRendezvous)
	}
	m.resetShares()
}

// resetShares drops the cached shares of limits, which depend on all known hosts.
func (m *members) resetShares() {
	if m.index == nil {
		return
	}
	m.index.layout = nil
	clear(m.index.sharers)
}

// insert inserts a name into a sorted list.
func insert(names []string, name string, compare func(a, b string) int) []string {
	i, found := slices.BinarySearchFunc(names, name, compare)
	if found {
		return names
	}
	return slices.Insert(names, i, name)
}

// remove removes a name from a sorted list.
func remove(names []string, name string, compare func(a, b string) int) []string {
	i, found := slices.BinarySearchFunc(names, name, compare)
	if !found {
		return names
	}
	return slices.Delete(names, i, i+1)
}

// hostNamed returns a known host, this one included.
func (m *members) hostNamed(name string) Host {
	if name == m.self.Name {
		return m.self
	}
	return m.peers[name].host
}

// compareRank compares two hosts of the own region by rank.
func (m *members) compareRank(a, b string) int { return byRank(m.hostNamed(a), m.hostNamed(b)) }

// compareRendezvous compares two peers by rendezvous hashing with this host.
func (m *members) compareRendezvous(a, b string) int {
	return cmp.Compare(rendezvous.Rank(m.self.Name, a), rendezvous.Rank(m.self.Name, b))
}

// byRank returns the names of this host and of the given peers, sorted by rank.
func (m *members) byRank(names []string) []string {
	hosts := []Host{m.self}
	for _, name := range names {
		hosts = append(hosts, m.peers[name].host)
	}
	slices.SortFunc(hosts, byRank)
	ranked := make([]string, 0, len(hosts))
	for _, h := range hosts {
		ranked = append(ranked, h.Name)
	}
	return ranked
}

// ranked sorts peers by rendezvous hashing with this host, so that the hosts of a region
// choose different peers of another region.
func (m *members) ranked(names []string) []string {
	ranks := make(map[string]uint64, len(names))
	for _, name := range names {
		ranks[name] = rendezvous.Rank(m.self.Name, name)
	}
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return ranked
}

// peersByName returns the peers of the given names.
func (m *members) peersByName(names []string) []*peerState {
	peers := make([]*peerState, 0, len(names))
	for _, name := range names {
		peers = append(peers, m.peers[name])
	}
	return peers
}
