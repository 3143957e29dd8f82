package entry

import (
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/shift"
	"cairndock/internal/selector/steer"
)

// Status is one host's view of the system, for operators.
type Status struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// FreshMillis is the age of the latest proof that the revision is the
	// newest, in milliseconds.
	FreshMillis int64 `json:"fresh_ms"`
	Frozen      bool  `json:"frozen"`
	Ready       bool  `json:"ready"`
	Leaving     bool  `json:"leaving"`
	InFlight    int64 `json:"in_flight"`
	Tickets     int   `json:"tickets"`
	// CutOff lists the zones that have no responsive host.
	CutOff   []string        `json:"cut_off,omitempty"`
	Zones    []ZoneStatus    `json:"zones"`
	Services []ServiceStatus `json:"services"`
	Roster   roster.Roster   `json:"roster"`
	Settled  bool            `json:"roster_settled"`
	Leavers  []string        `json:"leaving_upstreams,omitempty"`
}

// ZoneStatus is a host's view of a zone.
type ZoneStatus struct {
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Revision is the lowest revision in force on a responsive host of the zone.
	Revision    uint64 `json:"revision"`
	FreshMillis int64  `json:"fresh_ms"`
	Hosts       int    `json:"hosts"`
	Up          int    `json:"up"`
	// Free and Held are the sums of the zone's slots over all services.
	Free int `json:"free"`
	Held int `json:"held"`
	// Slots is the number of slots that the configuration assigns to the zone.
	Slots int `json:"slots"`
}

// ServiceStatus is the state of a service on the host.
type ServiceStatus struct {
	Service string             `json:"service"`
	Free    int                `json:"free"`
	Held    int                `json:"held"`
	Out     int                `json:"out"`
	Waiting int                `json:"waiting"`
	Shares  []shift.Status     `json:"shares"`
	Sites   []steer.SiteStatus `json:"sites"`
}

// Status returns the host's view of the system.
func (h *Host) Status() Status {
	v := h.View()
	s := Status{
		Host: h.Self().Host, Zone: h.zone, Revision: v.Revision(),
		FreshMillis: h.config.Age().Milliseconds(),
		Frozen:      h.config.Frozen(), Ready: h.Ready(), Leaving: h.leaving.Load(),
		InFlight: h.inFlight.Load(), Tickets: h.tickets.Kept(),
	}
	for _, svc := range v.Services() {
		s.Services = append(s.Services, h.serviceStatus(svc.Name))
	}
	free := h.services.Free()
	for _, zone := range h.config.KnownZones() {
		s.Zones = append(s.Zones, h.zoneStatus(v, zone, free))
	}
	for _, z := range s.Zones {
		if z.Up == 0 && z.Zone != h.zone {
			s.CutOff = append(s.CutOff, z.Zone)
		}
	}
	s.Roster, s.Settled = h.rosters.Current(), h.rosters.Settled()
	for _, svc := range v.Services() {
		for _, u := range svc.Local {
			if h.upstreams.Leaving(u) {
				s.Leavers = append(s.Leavers, u.Name)
			}
		}
	}
	return s
}

// serviceStatus returns a service's slots and shares on this host.
func (h *Host) serviceStatus(name string) ServiceStatus {
	svc := h.services.Get(name)
	load := svc.Gate.Load()
	out := ServiceStatus{Service: name, Free: load.Free, Held: load.Held, Out: load.Outstanding, Waiting: svc.Gate.Waiting()}
	svc.Decide(func(d *steer.Decider) {
		out.Shares = d.Meter().Status()
		out.Sites = d.Status(h.now())
	})
	return out
}

// zoneStatus returns the status of a zone. For the host's own zone, it is derived
// from this host and its peers; for another zone, from the newest heartbeat of a
// responsive host there.
func (h *Host) zoneStatus(v *config.View, zone string, free []member.ServiceSlots) ZoneStatus {
	z := ZoneStatus{Zone: zone, Region: v.Region(zone), Slots: v.ZoneSlots()[zone]}
	now := time.Now()
	if zone == h.zone {
		z.Hosts, z.Up, z.Revision = 1, 1, v.Revision()
		z.FreshMillis = h.config.Age().Milliseconds()
		z.add(h.peers.ZoneFree(free))
	}
	newest := time.Time{}
	for _, p := range h.peers.Zone(zone) {
		z.Hosts++
		if !p.Up(now) {
			continue
		}
		z.Up++
		if z.Revision == 0 || p.Heartbeat.Revision < z.Revision {
			z.Revision = p.Heartbeat.Revision
		}
		if zone != h.zone && p.LastSeen.After(newest) {
			newest = p.LastSeen
			z.Free, z.Held = 0, 0
			z.FreshMillis = p.Heartbeat.FreshAge + now.Sub(p.LastSeen).Milliseconds()
			z.add(p.Heartbeat.ZoneServiceSlots)
		}
	}
	return z
}

// add adds slots to the sums of the zone.
func (z *ZoneStatus) add(free []member.ServiceSlots) {
	for _, f := range free {
		z.Free += f.Free
		z.Held += f.Held
	}
}

// registerMetrics registers the gauges that read the host's state on collection.
func (h *Host) registerMetrics() {
	m := h.metrics
	m.Gauge("cairndock_config_revision", func() float64 { return float64(h.View().Revision()) })
	m.Gauge("cairndock_config_age_seconds", func() float64 { return h.config.Age().Seconds() })
	m.Gauge("cairndock_frozen", func() float64 {
		if h.config.Frozen() {
			return 1
		}
		return 0
	})
	m.Gauge("cairndock_in_flight", func() float64 { return float64(h.inFlight.Load()) })
	m.Gauge("cairndock_slots_outstanding", func() float64 { return float64(h.services.Outstanding()) })
	m.Gauge("cairndock_slots_held", func() float64 {
		held := 0
		for _, f := range h.services.Free() {
			held += f.Held
		}
		return float64(held)
	})
}
