// Package steer decides which zone each request of a service goes to. Decider
// holds, for one service on one host, what the host knows of each zone: its
// round trip, what it last reported of its slots, and how many of the host's
// own requests are outstanding there. Package shift orders the rules by their
// shares and keeps their caps; within a rule the zone with the least expected
// time goes first (score.go). Budget bounds retries and hedges.
//
// Slots of the own zone are taken in package slot. Package entry/services passes
// in what heartbeats and responses report of other zones; package entry/dispatch
// asks for the decisions.
package steer

import (
	"cmp"
	"slices"
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/shift"
)

const (
	// defaultLatency stands for a service's latency until one is known: what
	// quickstart's upstreams take.
	defaultLatency = 5 * time.Millisecond
	// sameRegionRTT stands for the round trip to a zone of the same region until
	// one is measured.
	sameRegionRTT = 2 * time.Millisecond
	// otherRegionRTT stands for the round trip to other regions until one is
	// measured.
	otherRegionRTT = 50 * time.Millisecond
)

// Report is what a zone last said of its slots for one service.
type Report struct {
	// Free is how many slots could be taken then, of Warm: those that the
	// upstreams' concurrency limits allowed (slot.Load.Warm).
	Free int
	Warm int
	// At is when the report was asked for, in monotonic nanoseconds.
	At int64
}

// zoneState is what this host knows of a zone.
type zoneState struct {
	rtt float64 // seconds
	// outstanding counts this host's own requests there, and inReport how many
	// of them the report may have counted.
	outstanding int
	inReport    int
	report      Report
	// refusedAt is when the zone last had no free slot for a request, in
	// monotonic nanoseconds; zero is never.
	refusedAt int64
	reachable bool
}

// siteState is one zone's upstreams under one rule.
type siteState struct {
	// id is the site's bit in a Plan, whatever its place in the order.
	id    uint
	zone  string
	state *zoneState
	// local says that it is the host's own zone.
	local bool
	// slots is how many its upstreams have by the configuration.
	slots int
}

// ruleState holds a rule's sites, the nearest first.
type ruleState struct {
	name  string
	sites []siteState
}

// Decider decides for one service on one host. It has no lock; now is in
// nanoseconds of a monotonic clock.
type Decider struct {
	meter  *shift.Meter
	prefer config.Prefer
	rules  []ruleState
	zones  map[string]*zoneState
	// localHeld and localOutstanding are the slots that the host itself holds,
	// and its requests outstanding on them.
	localHeld        int
	localOutstanding int
	latency          float64 // of the service, in seconds
	frozen           bool    // the configuration may be out of date
	retries          Budget
}

// New makes a decider on a meter.
func New(meter *shift.Meter) *Decider {
	return &Decider{meter: meter, zones: map[string]*zoneState{}, latency: defaultLatency.Seconds()}
}

// Meter is the meter of shares and caps.
func (d *Decider) Meter() *shift.Meter { return d.meter }

// Retries is the budget of retries and hedges.
func (d *Decider) Retries() *Budget { return &d.retries }

// Configure sets the service's rules, for a host of a zone and region. What is
// known of the zones stays.
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

// zone gives the state of a site's zone, with assumed round trips for a new one.
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

// SetLocal sets the slots that the host itself holds, its requests outstanding
// on them and the service's latency there; a latency of zero is not known.
func (d *Decider) SetLocal(held, outstanding int, latency time.Duration) {
	d.localHeld, d.localOutstanding = held, outstanding
	if latency > 0 {
		d.latency = latency.Seconds()
	}
}

// SetFrozen says whether the configuration may be out of date: the own zone then
// goes first.
func (d *Decider) SetFrozen(frozen bool) { d.frozen = frozen }

// SetZone sets a zone's report, unless a newer one is known, its round trip,
// unless it is zero, and whether any of its hosts can be reached.
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

// Rank puts each rule's sites in the order of their distance, so that a
// decision looks at the nearest few only.
func (d *Decider) Rank() {
	for _, r := range d.rules {
		slices.SortStableFunc(r.sites, func(a, b siteState) int { return cmp.Compare(a.state.rtt, b.state.rtt) })
	}
}

// Refused notes that a zone had no free slot for a request.
func (d *Decider) Refused(zone string, now int64) {
	if z := d.zones[zone]; z != nil {
		z.refusedAt = now
		z.report.Free = 0
	}
}

// score is the expected time at a zone, in seconds.
func (d *Decider) score(s *siteState, now int64) float64 {
	expected := expectedTime(d.prefer, s.state.rtt, d.use(s, now), d.latency)
	if !s.local && d.frozen {
		expected += frozenPenalty
	}
	return expected
}

// use is the part of a zone's slots that is taken, as far as this host knows.
func (d *Decider) use(s *siteState, now int64) float64 {
	if s.local {
		return ratio(d.localOutstanding, d.localHeld)
	}
	z := s.state
	if now-z.refusedAt < int64(refusedPause) && z.refusedAt != 0 {
		return 1
	}
	return reportedUse(z.report, max(0, z.outstanding-z.inReport), time.Duration(now-z.report.At))
}
