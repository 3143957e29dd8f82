package steer

import "math"

const (
	// nearest is how many of the zones not tried yet one decision weighs. With
	// 24 upstreams and 80 zones a decision took 1.83 us when it weighed all, and
	// 0.40 us with 8 (docs/design/request.md).
	nearest = 8
	// maxSites bounds the zones of one rule, one bit each in a Plan. The planned
	// size is 80 zones (docs/CAPACITY.md); further ones get no request.
	maxSites = 128
	// planRules is how many rules a Plan orders without allocating.
	planRules = 8
)

// Plan is which rules and zones one request has tried. Begin sets it up.
type Plan struct {
	// rules are the meter's places of the rules, in the order to try them. They
	// are stored in buffer, if it has room.
	rules  []int32
	buffer [planRules]int32
	// rule is the index in rules of the one tried now.
	rule int
	// tried has a bit for each zone of that rule.
	tried [maxSites / 64]uint64
	// Capped says that a rule was passed over because it has reached its cap.
	Capped bool
}

// Choice is a rule and one of its zones.
type Choice struct {
	Rule string
	Zone string
	// Local says that it is the host's own zone.
	Local bool
	// Full says that the zone has no free slot, as far as this host knows.
	Full bool
}

// hasTried reports whether the zone of a site was chosen under the rule tried now.
func (p *Plan) hasTried(site uint) bool { return p.tried[site/64]&(1<<(site%64)) != 0 }

// Begin counts a request that arrived, and sets its plan up.
func (d *Decider) Begin(p *Plan) {
	p.rules = d.meter.Arrive(p.buffer[:0])
	clear(p.tried[:])
	p.rule = 0
	p.Capped = false
	d.retries.arrive()
}

// Next gives the best zone not tried yet, of the rule furthest behind its
// share. Asking again passes to the next zone, and then to the next rule. A rule
// whose cap has no room is passed over, as is one that has left the meter.
func (d *Decider) Next(p *Plan, now int64) (Choice, bool) {
	for p.rule < len(p.rules) {
		i := p.rules[p.rule]
		if !d.meter.Has(i) {
			p.Capped = true
		} else if c, ok := d.bestSite(p, i, now); ok {
			return c, true
		}
		p.rule++
		clear(p.tried[:])
	}
	return Choice{}, false
}

// bestSite gives the zone of a rule with the least expected time, of the nearest
// that can be reached and were not tried.
func (d *Decider) bestSite(p *Plan, rule int32, now int64) (Choice, bool) {
	r := &d.rules[rule]
	best := -1
	bestScore := math.MaxFloat64
	looked := 0
	for i := range r.sites {
		if looked == nearest {
			break
		}
		s := &r.sites[i]
		if p.hasTried(s.id) || s.slots == 0 || !s.state.reachable {
			continue
		}
		looked++
		if score := d.score(s, now); score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	s := &r.sites[best]
	p.tried[s.id/64] |= 1 << (s.id % 64)
	return Choice{Rule: r.name, Zone: s.zone, Local: s.local, Full: d.use(s, now) >= 1}, true
}

// Commit counts a request as sent to the choice's rule. It reports false
// when the rule's cap has no room, or the rule is gone; nothing may then be sent.
func (d *Decider) Commit(p *Plan, c Choice) bool {
	// The rules may have changed since the choice was made, so look the rule up
	// by its name.
	if !d.meter.Take(d.meter.Index(c.Rule)) {
		p.Capped = true
		return false
	}
	if z := d.zones[c.Zone]; z != nil {
		z.outstanding++
	}
	return true
}

// Ended notes that a committed request to a zone is over.
func (d *Decider) Ended(zone string) {
	if z := d.zones[zone]; z != nil {
		z.outstanding--
		z.inReport = min(z.inReport, z.outstanding)
	}
}
