// Package steer decides which zone each request of a service goes to.
package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/shift"
)

const (
	// reportAge is the age at which a zone's report of free slots counts
	// for nothing.
	reportAge = 3 * time.Second
	// refusedPause is how long a zone that refused is not tried first.
	refusedPause = 200 * time.Millisecond
	// defaultLatency stands for a service's latency until one is known.
	defaultLatency = 5 * time.Millisecond
	// defaultRTT stands for a round trip until one is measured.
	sameRegionRTT  = 2 * time.Millisecond
	otherRegionRTT = 50 * time.Millisecond
	// fullPenalty is how many latencies a full zone's queue counts for.
	fullPenalty = 4
	// nearest is how many of the sites that are left one decision weighs.
	nearest = 8
	// maxSites bounds the zones of one rule: one bit each in a Plan.
	maxSites = 128
)

// Report is what a zone last said of its slots for one service.
type Report struct {
	Free int
	Held int
	// At is when the report was asked for, in monotonic nanoseconds.
	At int64
}

type zoneState struct {
	rtt float64 // seconds
	// out counts this host's own requests there, and reported how many of
	// them the report may have counted.
	out       int
	reported  int
	report    Report
	refusedAt int64
	reachable bool
}

type siteState struct {
	// id is the site's number within the rule, whatever its place.
	id    int
	zone  string
	state *zoneState
	local bool
	slots int
}

// ruleState holds a rule's sites, the nearest first.
type ruleState struct {
	name  string
	sites []siteState
}

// Decider decides for one service on one host. It is a plain state without
// locks; now is in nanoseconds of a monotonic clock.
type Decider struct {
	meter  *shift.Meter
	prefer config.Prefer
	rules  []ruleState
	zones  map[string]*zoneState
	// localHeld and localOut are the host's own slots as last told.
	localHeld, localOut int
	latency             float64
	frozen              bool
	retries             Budget
}

// New makes a decider on a meter.
func New(meter *shift.Meter) *Decider {
	return &Decider{meter: meter, zones: map[string]*zoneState{}, latency: defaultLatency.Seconds()}
}

// Meter is the meter of shares and caps.
func (d *Decider) Meter() *shift.Meter { return d.meter }

// Retries is the budget of retries and hedges.
func (d *Decider) Retries() *Budget { return &d.retries }

// Configure sets the service's rules as a zone's hosts see them.
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
			id: len(rs.sites), zone: s.Zone, state: d.zone(s, zone, region), local: s.Zone == zone, slots: s.Slots,
		})
	}
	return rs
}

func (d *Decider) zone(s config.Site, zone, region string) *zoneState {
	z := d.zones[s.Zone]
	if z != nil {
		return z
	}
	z = &zoneState{rtt: otherRegionRTT.Seconds(), reachable: s.Zone == zone}
	if s.Region == region {
		z.rtt = sameRegionRTT.Seconds()
	}
	if s.Zone == zone {
		z.rtt = 0
	}
	d.zones[s.Zone] = z
	return z
}

// SetLocal tells the host's own slots and the service's latency there.
func (d *Decider) SetLocal(held, out int, latency time.Duration) {
	d.localHeld, d.localOut = held, out
	if latency > 0 {
		d.latency = latency.Seconds()
	}
}

// SetFrozen says whether the configuration is stale: the own zone then goes
// first, and ramps stand still.
func (d *Decider) SetFrozen(frozen bool) { d.frozen = frozen }

// SetZone tells a zone's report, its round trip and whether any of its
// hosts can be reached.
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
		z.reported = z.out
	}
}

// Rank puts each rule's sites in the order of their distance, so that a
// decision looks at the nearest few only.
func (d *Decider) Rank() {
	for _, r := range d.rules {
		slices.SortStableFunc(r.sites, func(a, b siteState) int { return cmp.Compare(a.state.rtt, b.state.rtt) })
	}
}

// Refused notes that a zone had no free slot.
func (d *Decider) Refused(zone string, now int64) {
	if z := d.zones[zone]; z != nil {
		z.refusedAt = now
		z.report.Free = 0
	}
}

// Plan is one request's way through its rules and zones.
type Plan struct {
	order [8]int32
	rules []int32
	tried [2]uint64
	rule  int
	// Capped says that a rule was passed over for its cap.
	Capped bool
}

// Choice is a rule and one of its zones.
type Choice struct {
	Rule  string
	Zone  string
	Local bool
	// Full says that the zone reported no free slot just now.
	Full bool
}

// Begin counts a request that arrived.
func (d *Decider) Begin(p *Plan) {
	p.rules = d.meter.Arrive(p.order[:0])
	p.tried = [2]uint64{}
	p.rule = 0
	p.Capped = false
	d.retries.arrive()
}

// Next gives the best zone not tried yet, of the rule furthest behind its
// share. Asking again passes to the next zone, and then to the next rule.
func (d *Decider) Next(p *Plan, now int64) (Choice, bool) {
	for p.rule < len(p.rules) {
		i := p.rules[p.rule]
		room := int(i) < len(d.rules) && d.meter.Has(i)
		p.Capped = p.Capped || !room
		if room {
			if c, ok := d.bestSite(p, i, now); ok {
				return c, true
			}
		}
		p.rule++
		p.tried = [2]uint64{}
	}
	return Choice{}, false
}

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
		if p.tried[s.id>>6]&(1<<(s.id&63)) != 0 || s.slots == 0 || !s.state.reachable {
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
	p.tried[s.id>>6] |= 1 << (s.id & 63)
	return Choice{Rule: r.name, Zone: s.zone, Local: s.local, Full: d.use(s, now) >= 1}, true
}

// score is the expected time at a zone, in seconds. Where the service
// prefers headroom, distance counts less and use counts more.
func (d *Decider) score(s *siteState, now int64) float64 {
	use := d.use(s, now)
	distance, crowding := s.state.rtt, use*use*use*d.latency
	if d.prefer == config.PreferHeadroom {
		distance /= 4
		crowding = use * use * 4 * d.latency
	}
	score := distance + crowding
	if use >= 1 {
		score += fullPenalty * d.latency
	}
	if !s.local && d.frozen {
		score += otherRegionRTT.Seconds()
	}
	return score
}

// use is the part of a zone's slots that is taken, as far as this host
// knows. A report fades to the neutral half as it ages, so that one which is
// late or missing neither draws traffic nor drives it off.
func (d *Decider) use(s *siteState, now int64) float64 {
	if s.local {
		return ratio(d.localOut, d.localHeld)
	}
	z := s.state
	if now-z.refusedAt < int64(refusedPause) && z.refusedAt != 0 {
		return 1
	}
	fresh := 1 - float64(now-z.report.At)/float64(reportAge)
	if z.report.At == 0 || fresh <= 0 {
		return 0.5
	}
	known := ratio(z.report.Held-z.report.Free+max(0, z.out-z.reported), z.report.Held)
	return 0.5 + (known-0.5)*fresh
}

func ratio(out, held int) float64 {
	if held <= 0 {
		return 1
	}
	return float64(out) / float64(held)
}

// Commit counts a request as sent to the choice's rule. It reports false
// when the rule's cap has no room; nothing may then be sent.
func (d *Decider) Commit(p *Plan, c Choice) bool {
	// By name, as the rules may have changed since the choice was made.
	if !d.meter.Take(d.meter.Index(c.Rule)) {
		p.Capped = true
		return false
	}
	if z := d.zones[c.Zone]; z != nil {
		z.out++
	}
	return true
}

// Ended notes that a committed request is over.
func (d *Decider) Ended(zone string) {
	if z := d.zones[zone]; z != nil {
		z.out--
		z.reported = min(z.reported, z.out)
	}
}

// Budget bounds retries and hedges as a share of a service's requests.
type Budget struct {
	share  float64
	credit float64
}

// maxRetryCredit bounds the retries that idle time may save up.
const maxRetryCredit = 10

func (b *Budget) arrive() { b.credit = math.Min(maxRetryCredit, b.credit+b.share) }

// Take counts a retry, or reports that the budget has none left.
func (b *Budget) Take() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// SiteStatus is what a decider knows of a zone, for people.
type SiteStatus struct {
	Rule      string  `json:"rule"`
	Zone      string  `json:"zone"`
	Slots     int     `json:"slots"`
	Use       float64 `json:"use"`
	RTTMillis float64 `json:"rtt_ms"`
	Reachable bool    `json:"reachable"`
	Score     float64 `json:"score"`
}

// Status gives what is known of every rule's zones.
func (d *Decider) Status(now int64) []SiteStatus {
	var out []SiteStatus
	for _, r := range d.rules {
		for i := range r.sites {
			s := &r.sites[i]
			out = append(out, SiteStatus{
				Rule: r.name, Zone: s.zone, Slots: s.slots, Use: d.use(s, now),
				RTTMillis: s.state.rtt * 1e3, Reachable: s.state.reachable, Score: d.score(s, now),
			})
		}
	}
	return out
}
