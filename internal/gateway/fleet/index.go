package fleet

import (
	"cmp"
	"slices"

	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/rendezvous"
)

// index has the names of the known peers in order, so that frequent look-ups
// need not sort them. It is rebuilt after a host was added, forgotten or changed. At
// 5,900 hosts it took a directory look-up from 2,273 to 6.2 us, and a look for
// peers that are due a heartbeat from 7,712 to 33 us (docs/CAPACITY.md).
type index struct {
	// names are all peers, by name.
	names []string
	// byZone has the peers of each zone, by name.
	byZone map[string][]string
	// byRegion has the peers of each region, by name.
	byRegion map[string][]string
	// byRank has the hosts of the own region, this one included, by rank.
	byRank []string
	// remote has the peers of each other region in this host's own order.
	remote map[string][]string
	// sharers has those that were asked for; see members.sharers.
	sharers map[string]sharers
	// layout is nil until it is asked for; see members.layout.
	layout *quota.Layout
}

// indexed returns the index of the peers known now.
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

// byRank sorts this host and some peers by rank.
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

// ranked sorts peers by rendezvous hashing with this host, so that the hosts of
// a region choose different peers of another region.
func (m *members) ranked(names []string) []string {
	ranks := make(map[string]uint64, len(names))
	for _, name := range names {
		ranks[name] = rendezvous.Rank(m.self.Name, name)
	}
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return ranked
}

// named returns the peers of the given names.
func (m *members) peersByName(names []string) []*peerState {
	peers := make([]*peerState, 0, len(names))
	for _, name := range names {
		peers = append(peers, m.peers[name])
	}
	return peers
}
