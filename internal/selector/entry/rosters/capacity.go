package rosters

import (
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/steer"
)

// Reconfigure recomputes the slots and limits of all services after a change of
// the configuration, the roster or an upstream's state.
func (m *Membership) Reconfigure() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.View()
	m.configured = m.holder.Current().Epoch
	for _, svc := range v.Services() {
		s := m.Services.Get(svc.Name)
		s.Gate.Configure(m.specs(svc, now), m.ruleSpecs(svc, now))
		s.Decide(func(d *steer.Decider) { d.Configure(svc, m.Zone, m.Region, now) })
	}
	for name, s := range m.Services.All() {
		if _, ok := v.Service(name); !ok {
			s.Gate.Configure(nil, nil)
		}
	}
}

// specs returns the slots that the host holds of each of a service's upstreams.
// m.mu must be held.
func (m *Membership) specs(svc *config.ServiceView, now time.Time) []slot.Spec {
	specs := make([]slot.Spec, 0, len(svc.Local))
	for _, u := range svc.Local {
		held := m.holder.Held(u.Name, u.Slots, time.Duration(svc.MaxTimeout), now)
		specs = append(specs, slot.Spec{Name: u.Name, Held: held.Count(), Leaving: m.Upstreams.Leaving(u)})
	}
	return specs
}

// ruleSpecs returns the host's share of each rule's limits. m.mu must be
// held.
func (m *Membership) ruleSpecs(svc *config.ServiceView, now time.Time) []slot.RuleSpec {
	longest := time.Duration(svc.MaxTimeout)
	specs := make([]slot.RuleSpec, 0, len(svc.Rules))
	for _, r := range svc.Rules {
		spec := slot.RuleSpec{Name: r.Name, Upstreams: r.Local, InFlight: -1, Rate: -1}
		if r.InFlight > 0 {
			spec.InFlight = m.holder.Share("rule:"+r.Name, zoneLimit(r, m.Zone), longest, now)
		}
		if r.Rate > 0 {
			spec.Rate = r.Rate * zoneShare(r, m.Zone) * m.holder.Fraction(now, longest)
		}
		specs = append(specs, spec)
	}
	return specs
}

// zoneShare returns the fraction of a rule's slots that a zone has.
func zoneShare(r config.RuleView, zone string) float64 {
	total, own := 0, 0
	for _, s := range r.Sites {
		total += s.Slots
		if s.Zone == zone {
			own = s.Slots
		}
	}
	return float64(own) / float64(max(1, total)) // 0 if the rule has no slots
}

// zoneLimit returns a zone's share of a rule's in-flight limit. The limit is
// split over the zones in proportion to their slots. Every host computes the
// same split. The shares add up to the limit, because each share is the
// difference between two consecutive rounded prefix sums.
func zoneLimit(r config.RuleView, zone string) int {
	total := 0
	for _, s := range r.Sites {
		total += s.Slots
	}
	sum := 0
	for _, s := range r.Sites {
		before := r.InFlight * sum / max(1, total)
		sum += s.Slots
		if s.Zone == zone {
			return r.InFlight*sum/max(1, total) - before
		}
	}
	return 0
}
