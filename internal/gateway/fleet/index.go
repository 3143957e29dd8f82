package fleet

import (
	"cmp"
	"slices"
)

// index keeps the names of the known hosts in order, so that what is asked
// often does not go through all of a large fleet. It is made anew after a host
// has come or gone.
type index struct {
	// names are all hosts, byZone and byRegion parts of them, by name.
	names    []string
	byZone   map[string][]string
	byRegion map[string][]string
	// far has the hosts of each other region in an order of this host's own.
	remote map[string][]string
}

// indexed gives the index of the hosts known now.
func (m *Members) indexed() *index {
	if m.index == nil {
		m.index = m.newIndex()
	}
	return m.index
}

func (m *Members) newIndex() *index {
	x := &index{byZone: map[string][]string{}, byRegion: map[string][]string{}, remote: map[string][]string{}}
	for name := range m.peers {
		x.names = append(x.names, name)
	}
	slices.Sort(x.names)
	for _, name := range x.names {
		h := m.peers[name].Host
		x.byZone[h.Zone] = append(x.byZone[h.Zone], name)
		x.byRegion[h.Region] = append(x.byRegion[h.Region], name)
	}
	for region, names := range x.byRegion {
		if region != m.self.Region {
			x.remote[region] = m.ranked(names)
		}
	}
	return x
}

// ranked orders hosts for this one, so that the hosts of a region choose
// different ones of another.
func (m *Members) ranked(names []string) []string {
	ranks := make(map[string]uint64, len(names))
	for _, name := range names {
		ranks[name] = pairRank(m.self.Name, name)
	}
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return ranked
}

// peersOf gives the peers of some names.
func (m *Members) peersOf(names []string) []*Peer {
	peers := make([]*Peer, 0, len(names))
	for _, name := range names {
		peers = append(peers, m.peers[name])
	}
	return peers
}
