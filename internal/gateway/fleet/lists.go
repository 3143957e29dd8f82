package fleet

import (
	"maps"
	"slices"
	"time"

	"cairndock/internal/gateway/warmup"
)

// The lists of hosts in the registry, one for each region, say who shares a limit
// with this host. Heartbeats do not: they come from some hosts only, and not from
// those that are cut off.

// addList adds the hosts of a region, read from the registry. whole is set when no
// host of the region is missing that may share a limit with this one.
func (m *members) addList(region string, hosts []Listing, whole bool, now time.Time) {
	for _, l := range hosts {
		m.addKnown(l.Host, now)
		if p := m.peers[l.Host.Name]; p != nil && l.Version.Newer(p.listedVersion) {
			p.listedVersion, p.announcedAt = l.Version, now
		}
	}
	if whole && m.lists[region].IsZero() {
		m.lists[region] = now
	}
}

// regions returns the regions that have a list, the own one first.
func (m *members) regions() []string {
	var regions []string
	for _, region := range slices.Sorted(maps.Keys(m.lists)) {
		if region == m.self.Region {
			regions = slices.Insert(regions, 0, region)
			continue
		}
		regions = append(regions, region)
	}
	return regions
}

// unread returns those of them whose list was not read whole yet.
func (m *members) unread() []string {
	return slices.DeleteFunc(m.regions(), func(region string) bool { return !m.lists[region].IsZero() })
}

// knows reports whether this host knows all hosts of a region that may share a
// limit with it. It waits for a window after it read their list: they learn of this
// host by its first heartbeats, within schedulerTick and the way there, and what a
// host had sent that withdrew itself just before is out of any second then.
func (m *members) hostsKnown(region string, now time.Time) bool {
	read := m.lists[region]
	return !read.IsZero() && now.Sub(read) >= warmup.Window
}

// hostsKnownOutside reports whether it knows the hosts of all regions but one; of all
// if that is "".
func (m *members) hostsKnownOutside(region string, now time.Time) bool {
	for other := range m.lists {
		if other != region && !m.hostsKnown(other, now) {
			return false
		}
	}
	return true
}

// gone returns the hosts of the own region that the registry lists, were silent for
// peerTTL, and whose last announcement was first read as long ago.
func (m *members) staleListings(now time.Time) []Host {
	var hosts []Host
	for _, p := range m.peersByName(m.indexed().byRegion[m.self.Region]) {
		silent, unrenewed := now.Sub(p.lastHeartbeat), now.Sub(p.announcedAt)
		if !p.announcedAt.IsZero() && silent >= peerTTL && unrenewed >= peerTTL {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}
