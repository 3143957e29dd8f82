package peers

import (
	"slices"
	"time"

	"cairndock/internal/selector/member"
)

// WithMostFree returns the responsive host of a zone that reported the most free
// slots for a service, and whether there is one. In the host's own zone only hosts
// with free slots qualify, because a full host does not justify another hop. The
// function random returns values in [0, 1) that spread the requests of many hosts
// over hosts with equally many free slots.
func (t *Table) WithMostFree(zone, service string, random func() float64) (member.Contact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	best, bestFree := member.Contact{}, -1.0
	for _, p := range t.peers.Zone(zone) {
		if !p.Up(now) {
			continue
		}
		slots, _ := SlotsOf(p.Heartbeat.ServiceSlots, service)
		if zone == t.zone && slots.Free <= 0 {
			continue
		}
		if score := float64(slots.Free) + random(); score > bestFree {
			best, bestFree = p.Contact, score
		}
	}
	return best, bestFree >= 0
}

// SlotsOf returns the slots of a service from a list, and whether the list
// contains the service.
func SlotsOf(all []member.ServiceSlots, service string) (member.ServiceSlots, bool) {
	for _, s := range all {
		if s.Service == service {
			return s, true
		}
	}
	return member.ServiceSlots{}, false
}

// ZoneFree returns the sum of the slots of this host, own, and those that the
// responsive hosts of its zone reported. Only services in own are included.
func (t *Table) ZoneFree(own []member.ServiceSlots) []member.ServiceSlots {
	now := time.Now()
	sum := slices.Clone(own)
	for _, p := range t.Zone(t.zone) {
		if p.Up(now) {
			addFree(sum, p.Heartbeat.ServiceSlots)
		}
	}
	return sum
}

// addFree adds the slots in more to those of the same services in sum.
func addFree(sum, more []member.ServiceSlots) {
	for _, f := range more {
		for i := range sum {
			if sum[i].Service == f.Service {
				sum[i].Free += f.Free
				sum[i].Held += f.Held
				sum[i].Warm += f.Warm
			}
		}
	}
}

// ZoneReport is the newest report of another zone.
type ZoneReport struct {
	Zone string
	// Free holds the zone's slots. At is the time at which they were requested.
	Free []member.ServiceSlots
	At   time.Time
	// RTT is the shortest round-trip time to a host of the zone. Zero means
	// unknown.
	RTT time.Duration
	// Up means that a host of the zone is responsive.
	Up bool
}

// ZoneReports returns the newest report of each other zone.
func (t *Table) ZoneReports(now time.Time) []ZoneReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ZoneReport
	for _, zone := range t.peers.Zones() {
		if zone != t.zone {
			out = append(out, newestReport(zone, t.peers.Zone(zone), now))
		}
	}
	return out
}

// newestReport returns the newest report of the responsive hosts of a zone.
func newestReport(zone string, hosts []member.Peer, now time.Time) ZoneReport {
	z := ZoneReport{Zone: zone}
	for _, p := range hosts {
		if !p.Up(now) {
			continue
		}
		z.Up = true
		if p.SlotsAt.After(z.At) {
			z.At, z.Free = p.SlotsAt, p.Heartbeat.ZoneServiceSlots
		}
		if z.RTT == 0 || (p.RTT > 0 && p.RTT < z.RTT) {
			z.RTT = p.RTT
		}
	}
	return z
}
