package steer

import "math"

const (
	// maxCandidates is the maximum number of untried zones that one decision
	// compares. With 24 upstreams and 80 zones, a decision took 1.83 us when all
	// zones were compared and 0.40 us with 8 (docs/design/request.md).
	maxCandidates = 8
	// maxSites is the maximum number of zones per rule. Each zone has one bit in
	// a Plan. The planned size is 80 zones (docs/CAPACITY.md). Zones above the
	// maximum receive no requests.
	maxSites = 128
	// planRules is the number of rules that a Plan holds without allocating.
	planRules = 8
)

// Plan records which rules and zones one request has tried. Begin initializes it.
type Plan struct {
	// rules holds the meter's rule indexes in the order in which to try them. It
	// uses buffer as its storage if buffer is large enough.
	rules  []int32
	buffer [planRules]int32
	// rule is the index in rules of the current rule.
	rule int
	// tried has one bit for each zone of the current rule.
	tried [maxSites / 64]uint64
	// Capped is true if a rule was skipped because it has reached its cap.
	Capped bool
}

// Choice is a rule and one of its zones.
type Choice struct {
	Rule string
	Zone string
	// Local is true for the host's own zone.
	Local bool
	// Full is true if the zone has no free slot according to this host's data.
	Full bool
}

// hasTried reports whether the zone of a site was already chosen under the current rule.
func (p *Plan) hasTried(site uint) bool { return p.tried[site/64]&(1<<(site%64)) != 0 }

// Begin records an arriving request and initializes its plan.
func (d *Decider) Begin(p *Plan) {
	p.rules = d.meter.Arrive(p.buffer[:0])
	clear(p.tried[:])
	p.rule = 0
	p.Capped = false
	d.retries.arrive()
}

// Next returns the best untried zone of the rule that is furthest behind its
// share. Each further call returns the next zone and, after the last zone of a
// rule, continues with the next rule. Rules that have reached their cap or that
// have been removed from the meter are skipped. Next returns false when no zone
// is left.
func (d *Decider) Next(p *Plan, now int64) (Choice, bool) {
	for p.rule < len(p.rules) {
		i := p.rules[p.rule]
		if !d.meter.Allows(i) {
			p.Capped = true
		} else if c, ok := d.bestSite(p, i, now); ok {
			return c, true
		}
		p.rule++
		clear(p.tried[:])
	}
	return Choice{}, false
}

// bestSite returns the zone of a rule with the lowest expected time. It compares
// the nearest maxCandidates zones that are reachable and untried.
func (d *Decider) bestSite(p *Plan, rule int32, now int64) (Choice, bool) {
	r := &d.rules[rule]
	best := -1
	bestScore := math.MaxFloat64
	considered := 0
	for i := range r.sites {
		if considered == maxCandidates {
			break
		}
		s := &r.sites[i]
		if p.hasTried(s.id) || s.slots == 0 || !s.state.reachable {
			continue
		}
		considered++
		if score := d.score(s, now); score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	s := &r.sites[best]
	p.tried[s.id/64] |= 1 << (s.id % 64)
	return Choice{Rule: r.name, Zone: s.zone, Local: s.local, Full: d.utilization(s, now) >= 1}, true
}

// Commit records that a request is sent to the choice's rule. It returns false
// if the rule has reached its cap or has been removed. In that case the request
// must not be sent.
func (d *Decider) Commit(p *Plan, c Choice) bool {
	// The rules may have changed since the choice was made, so the rule is looked
	// up by name.
	if !d.meter.Take(d.meter.Index(c.Rule)) {
		p.Capped = true
		return false
	}
	if z := d.zones[c.Zone]; z != nil {
		z.outstanding++
	}
	return true
}

// Ended records the end of a committed request to a zone.
func (d *Decider) Ended(zone string) {
	if z := d.zones[zone]; z != nil {
		z.outstanding--
		z.inReport = min(z.inReport, z.outstanding)
	}
}
