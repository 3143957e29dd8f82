// Package steer decides which zone each request of a service goes to. Decider
// holds the state of each zone for one service on one host: the round-trip time
// to the zone, its last report of its slots, and the number of the host's own
// requests outstanding there. Package shift orders the rules by their shares and
// enforces their caps. Within a rule, the zone with the lowest expected time is
// tried first (score.go). Budget limits retries and hedges.
//
// Slots of the host's own zone are taken in package slot. Package entry/services
// passes in the reports of other zones from heartbeats and responses. Package
// entry/dispatch requests the decisions.
package steer

import (
	"cmp"
	"slices"
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/shift"
)

const (
	// defaultLatency is assumed for a service until its latency is known. It is
	// the latency of quickstart's upstreams.
	defaultLatency = 5 * time.Millisecond
	// sameRegionRTT is the round-trip time assumed for zones of the same region
	// until it is measured.
	sameRegionRTT = 2 * time.Millisecond
	// otherRegionRTT is the round-trip time assumed for zones of other regions
	// until it is measured.
	otherRegionRTT = 50 * time.Millisecond
)

// Report is a zone's last report of its slots for one service.
type Report struct {
	// Warm is the number of slots that the upstreams' concurrency limits allowed
	// (slot.Load.Warm). Free is the number of them that were not in use.
	Free int
	Warm int
	// At is when the report was requested, in monotonic nanoseconds.
	At int64
}

// zoneState is this host's state of a zone.
type zoneState struct {
	rtt float64 // seconds
	// outstanding is the number of this host's own requests outstanding at the
	// zone. inReport is the number of them that the report may include.
	outstanding int
	inReport    int
	report      Report
	// refusedAt is when the zone last had no free slot for a request, in
	// monotonic nanoseconds; zero means never.
	refusedAt int64
	reachable bool
}

// siteState is one zone's upstreams under one rule.
type siteState struct {
	// id is the site's bit in a Plan. It is independent of the sort order.
	id    uint
	zone  string
	state *zoneState
	// local is true for the host's own zone.
	local bool
	// slots is the number of slots of the zone's upstreams in the configuration.
	slots int
}

// ruleState holds a rule's sites, sorted by round-trip time.
type ruleState struct {
	name  string
	sites []siteState
}

// Decider selects zones for the requests of one service on one host. It is not
// safe for concurrent use. All now parameters are nanoseconds of one monotonic
// clock.
type Decider struct {
	meter  *shift.Meter
	prefer config.Prefer
	rules  []ruleState
	zones  map[string]*zoneState
	// localHeld is the number of slots that the host itself holds, and
	// localOutstanding is the number of its requests outstanding on them.
	localHeld        int
	localOutstanding int
	latency          float64 // of the service, in seconds
	frozen           bool    // the configuration may be out of date
	retries          Budget
}

// New returns a decider that uses the given meter.
func New(meter *shift.Meter) *Decider {
	return &Decider{meter: meter, zones: map[string]*zoneState{}, latency: defaultLatency.Seconds()}
}

// Meter returns the meter of shares and caps.
func (d *Decider) Meter() *shift.Meter { return d.meter }

// Retries returns the budget of retries and hedges.
func (d *Decider) Retries() *Budget { return &d.retries }

// Configure sets the service's rules for a host in the given zone and region. The
// state of the zones is kept.
func (d *Decider) Configure(svc *config.ServiceView, zone, region string, now time.Time) {
	d.prefer = svc.Prefer
	d.retries.share = svc.RetryBudget()
	rules := make([]shift.Rule, 0, len(svc.Rules))
	d.rules = make([]ruleState, 0, len(svc.Rules))
	for _, r := range svc.Rules {
		rules = append(rules, shift.Rule{Name: r.Name, Share: r.Share, Cap: r.MaxShare(), Ramp: r.Ramp})
		d.rules = append(d.rules, d.newRule(r, zone, region))
	}
	d.meter.Configure(rules, now)
	d.Rank()
}

func (d *Decider) newRule(r config.RuleView, zone, region string) ruleState {
	rs := ruleState{name: r.Name}
	for _, s := range r.Sites {
		if len(rs.sites) == maxSites {
			break
		}
		rs.sites = append(rs.sites, siteState{
			id: uint(len(rs.sites)), zone: s.Zone, state: d.zone(s, zone, region), local: s.Zone == zone, slots: s.Slots,
		})
	}
	return rs
}

// zone returns the state of a site's zone. A new zone starts with an assumed
// round-trip time.
func (d *Decider) zone(s config.Site, zone, region string) *zoneState {
	if z := d.zones[s.Zone]; z != nil {
		return z
	}
	z := &zoneState{reachable: s.Zone == zone}
	switch {
	case s.Zone == zone:
	case s.Region == region:
		z.rtt = sameRegionRTT.Seconds()
	default:
		z.rtt = otherRegionRTT.Seconds()
	}
	d.zones[s.Zone] = z
	return z
}

// SetLocal sets the number of slots that the host itself holds, the number of its
// requests outstanding on them and the service's latency on them. A latency of zero
// means unknown.
func (d *Decider) SetLocal(held, outstanding int, latency time.Duration) {
	d.localHeld, d.localOutstanding = held, outstanding
	if latency > 0 {
		d.latency = latency.Seconds()
	}
}

// SetFrozen sets whether the configuration may be out of date. If so, the host's
// own zone is preferred.
func (d *Decider) SetFrozen(frozen bool) { d.frozen = frozen }

// SetZone updates the state of a zone: its report, unless a newer report is known;
// its round-trip time, unless rtt is zero; and whether any of its hosts is
// reachable.
func (d *Decider) SetZone(zone string, r Report, rtt time.Duration, reachable bool) {
	z := d.zones[zone]
	if z == nil {
		return
	}
	z.reachable = reachable
	if rtt > 0 {
		z.rtt = rtt.Seconds()
	}
	if r.At > z.report.At {
		z.report = r
		z.inReport = z.outstanding
	}
}

// Rank sorts each rule's sites by round-trip time, so that a decision compares
// only the nearest sites.
func (d *Decider) Rank() {
	for _, r := range d.rules {
		slices.SortStableFunc(r.sites, func(a, b siteState) int { return cmp.Compare(a.state.rtt, b.state.rtt) })
	}
}

// Refused records that a zone had no free slot for a request.
func (d *Decider) Refused(zone string, now int64) {
	if z := d.zones[zone]; z != nil {
		z.refusedAt = now
		z.report.Free = 0
	}
}

// score returns the expected time of a request at a zone, in seconds.
func (d *Decider) score(s *siteState, now int64) float64 {
	expected := expectedTime(d.prefer, s.state.rtt, d.utilization(s, now), d.latency)
	if !s.local && d.frozen {
		expected += frozenPenaltySeconds
	}
	return expected
}

// utilization returns the fraction of a zone's slots that is in use according to
// this host's data.
func (d *Decider) utilization(s *siteState, now int64) float64 {
	if s.local {
		return ratio(d.localOutstanding, d.localHeld)
	}
	z := s.state
	if now-z.refusedAt < int64(refusalTTL) && z.refusedAt != 0 {
		return 1
	}
	return reportedUtilization(z.report, max(0, z.outstanding-z.inReport), time.Duration(now-z.report.At))
}
