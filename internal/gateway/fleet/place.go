package fleet

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/warmup"
)

// A shard of a limit must not have two holders (package quota). The hosts of a zone
// agree on the holder of each shard as soon as they know each other. Two cases remain: a
// host that is new to the zone, and a host that is cut off from the zone and does not
// learn of the new one. The new host takes its shards once it has received heartbeats
// from all known hosts of the zone, or newHostDelay after it has read their list. The
// host that is cut off has released its shards by then.
const (
	// isolationTimeout is how long a host may receive no heartbeat from its zone, if
	// other hosts of the zone are known, before it releases its shards. It exceeds
	// deadTimeout by more than a heartbeat interval.
	isolationTimeout = 4 * time.Second
	// newHostDelay is how long a host that no earlier process has announced holds no
	// shards. It exceeds isolationTimeout by the time that the other hosts take to learn
	// of the new host.
	newHostDelay = 6 * time.Second
)

// limitAssignment returns the assignment of limit shards to hosts as this host sees it.
// It returns last if nothing has changed.
func (m *members) limitAssignment(zones map[string]string, last *quota.Assignment, now time.Time) *quota.Assignment {
	next := &quota.Assignment{Layout: m.layout(zones), HoldsShards: m.holdsShards(now)}
	if last != nil && last.HoldsShards == next.HoldsShards && (last.Layout == next.Layout || reflect.DeepEqual(last.Layout, next.Layout)) {
		return last
	}
	next.HeldSince = m.heldSince(last, next, now)
	m.heldShards = m.heldShards || next.HoldsShards
	return next
}

// heldSince returns the time since which this host has held the shards that next
// assigns to it.
func (m *members) heldSince(last, next *quota.Assignment, now time.Time) time.Time {
	switch {
	case last != nil && last.HoldsShards && slices.EqualFunc(last.Layout.Zones, next.Layout.Zones, func(a, b quota.Zone) bool {
		return a.Name != m.self.Zone || reflect.DeepEqual(a, b)
	}):
		return last.HeldSince // only other zones have changed
	case m.announcedBefore && !m.heldShards:
		// An earlier process of this host held these shards, and they filled while this
		// one read the lists. Counted from the time at which the lists were read, 3,718
		// attempts were refused by limits in 44 s with a restart of all 67 hosts,
		// because clients reconnect at the same time. Counted from the process start,
		// 2,029 were refused.
		return m.started
	default:
		return now
	}
}

// layout returns the known hosts by zone, for the zones of the settings and this host's
// zone. The result is cached until the known hosts change, because it is used several
// times per second.
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
	for _, p := range m.peersByName(m.indexed().byZone[name]) {
		// A stopping host releases its shards before it reports that it has withdrawn.
		// The other hosts of its zone take them, so that no shard stays unused while
		// hosts are restarted one after another.
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

// holdsShards reports whether this host holds the shards that the layout assigns to it.
// It does if it knows the hosts of its zone and they know it.
func (m *members) holdsShards(now time.Time) bool {
	read := m.lists[m.self.Region]
	if m.withdrawn || read.IsZero() || m.isolated(now) {
		return false
	}
	switch {
	case m.announcedBefore:
		return true
	case m.firstStart || m.seenWholeZone():
		return now.Sub(read) >= warmup.Window
	default:
		return now.Sub(read) >= newHostDelay
	}
}

// seenWholeZone reports whether this process has received heartbeats from all known
// hosts of its zone. These hosts then know this one and have released its shards. Hosts
// that have withdrawn are not needed.
func (m *members) seenWholeZone() bool {
	return !slices.ContainsFunc(m.peersByName(m.indexed().byZone[m.self.Zone]), func(p *peerState) bool {
		return p.lastHeartbeat.IsZero() && !p.status.Withdrawn
	})
}

// isolated reports whether other hosts of the zone are known and no heartbeat of any of
// them was received within isolationTimeout.
func (m *members) isolated(now time.Time) bool {
	peers := m.peersByName(m.indexed().byZone[m.self.Zone])
	if len(peers) == 0 || now.Sub(m.started) < isolationTimeout {
		return false
	}
	return !slices.ContainsFunc(peers, func(p *peerState) bool { return now.Sub(p.lastHeartbeat) < isolationTimeout })
}

// Assignment returns the assignment of the shards of account limits, which is at most
// schedulerTick old.
func (f *Fleet) Assignment() *quota.Assignment { return f.limitAssignment.Load() }

// updateAssignment recomputes the assignment.
func (f *Fleet) updateAssignment(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limitAssignment.Store(f.members.limitAssignment(f.options.Zones, f.limitAssignment.Load(), now))
}
