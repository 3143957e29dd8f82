package peers

import (
	"slices"
	"time"

	"cairndock/internal/selector/member"
)

// WithMostFree gives the host of a zone that reported most free slots for a
// service, and whether there is one. In the own zone only a host with free
// slots is worth a hop. Random, in [0, 1), spreads many askers over hosts that
// are equal.
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

// SlotsOf gives a service's slots among those of several, and whether they are
// there.
func SlotsOf(all []member.ServiceSlots, service string) (member.ServiceSlots, bool) {
	for _, s := range all {
		if s.Service == service {
			return s, true
		}
	}
	return member.ServiceSlots{}, false
}

// ZoneFree sums the slots of this host's zone; own are this host's.
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

// ZoneReport is the newest that is known of another zone.
type ZoneReport struct {
	Zone string
	// Free are the zone's slots, and At is when they were asked for.
	Free []member.ServiceSlots
	At   time.Time
	// RTT is the shortest round trip to a host of the zone; zero is unknown.
	RTT time.Duration
	// Up says that a host of the zone answers.
	Up bool
}

// ZoneReports gives the newest report of each other zone.
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

// newestReport gives what the hosts of a zone that answer reported last.
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
