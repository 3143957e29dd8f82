package services

import (
	"time"

	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/steer"
)

// Refresh gives each service the latest reports of the zones, and advances its
// ramps unless the configuration is frozen. Clock is the reading of the
// host's monotonic clock, in nanoseconds, at the time now.
func (s *Set) Refresh(zones []peers.ZoneReport, frozen bool, now time.Time, clock int64) {
	for _, svc := range s.view().Services() {
		state := s.Get(svc.Name)
		held, out, latency := state.Usage()
		state.Decide(func(d *steer.Decider) {
			d.SetLocal(held, out, latency)
			d.SetFrozen(frozen)
			d.Meter().Advance(now, frozen)
			for _, z := range zones {
				d.SetZone(z.Zone, reportOf(z, svc.Name, now, clock), z.RTT, z.Up)
			}
			d.Rank()
		})
	}
}

// reportOf gives what a zone reported of a service, by the host's clock.
func reportOf(z peers.ZoneReport, service string, now time.Time, clock int64) steer.Report {
	for _, f := range z.Free {
		if f.Service == service {
			return steer.Report{Free: f.Free, Held: f.Warm, At: clock - int64(now.Sub(z.At))}
		}
	}
	return steer.Report{}
}
