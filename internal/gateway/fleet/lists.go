package fleet

import (
	"maps"
	"slices"
	"time"

	"cairndock/internal/gateway/warmup"
)

// The lists of hosts in the registry, one for each region, determine which hosts share a
// limit with this one. Heartbeats do not, because they come only from some hosts and not
// from hosts that are cut off.

// addList adds the hosts of a region that were read from the registry. complete is set
// if the list has all hosts of the region that may share a limit with this host.
func (m *members) addList(region string, hosts []Listing, complete bool, now time.Time) {
	for _, l := range hosts {
		m.addKnown(l.Host, now)
		if p := m.peers[l.Host.Name]; p != nil && l.Version.Newer(p.listedVersion) {
			p.listedVersion, p.announcedAt = l.Version, now
		}
	}
	if complete && m.lists[region].IsZero() {
		m.lists[region] = now
	}
}

// regions returns the regions that have a list, the own region first.
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

// unread returns the regions whose list was not read completely yet.
func (m *members) unread() []string {
	return slices.DeleteFunc(m.regions(), func(region string) bool { return !m.lists[region].IsZero() })
}

// hostsKnown reports whether this host knows all hosts of a region that may share a
// limit with it. That is the case one window after their list was read. By then these
// hosts have learned of this host from its first heartbeats, which takes schedulerTick
// and the network delay, and requests sent by a host that withdrew just before the read
// are too old to count.
func (m *members) hostsKnown(region string, now time.Time) bool {
	read := m.lists[region]
	return !read.IsZero() && now.Sub(read) >= warmup.Window
}

// hostsKnownOutside reports whether this host knows the hosts of all regions except the
// given one, or of all regions if region is "".
func (m *members) hostsKnownOutside(region string, now time.Time) bool {
	for other := range m.lists {
		if other != region && !m.hostsKnown(other, now) {
			return false
		}
	}
	return true
}

// staleListings returns the hosts of the own region that are listed in the registry,
// have been silent for peerTTL, and whose last announcement was first read at least that
// long ago.
func (m *members) staleListings(now time.Time) []Host {
	var hosts []Host
	for _, p := range m.peersByName(m.indexed().byRegion[m.self.Region]) {
		silent, sinceAnnounced := now.Sub(p.lastHeartbeat), now.Sub(p.announcedAt)
		if !p.announcedAt.IsZero() && silent >= peerTTL && sinceAnnounced >= peerTTL {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}
