package fleet

import (
	"cmp"
	"slices"

	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/rendezvous"
)

// index has the names of the known peers in sorted order, so that frequent look-ups do
// not sort them. It is rebuilt after a host was added, forgotten or changed. At 5,900
// hosts the index reduced a directory look-up from 2,273 to 6.2 us, and the selection of
// peers that are due a heartbeat from 7,712 to 33 us (docs/CAPACITY.md).
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
