package balance

import (
	"math"
	"time"

	"cairndock/internal/gateway/upstream"
)

// The rule of this file is for a load where many hosts share each upstream. Their reports
// of an upstream are older than its requests take, so that the last report says little
// about the requests there now. The mean of its reports still says which upstreams have
// more keys, and more expensive ones, than others. With it, each key is served by the less
// loaded upstream of its preference list. docs/design/even-load.md has the alternatives
// that were measured.
const (
	// reportMemory is the time after which a report has lost the fraction 1-1/e of its
	// weight in the mean. It is several times the interval of the reports, and below the
	// time in which the load of a region changes.
	reportMemory = 20 * time.Second
	// reportRelevance is the time in which the load that a report deviates by from the
	// mean falls to 1/e. It is about the time that warm work takes.
	reportRelevance = 200 * time.Millisecond
	// priorReports is the weight of the mean of the region, in reports, beside the
	// upstream's own reports.
	priorReports = 2.0
	// minReportWeight is the weight of a region's reports from which its mean is known. A
	// single report has less after a minute.
	minReportWeight = 0.05
	// secondCost is the advantage, in capacities, from which the next upstream of a
	// preference list serves a key. Below it, most objects are loaded at both upstreams, which
	// costs more than it gains where few hosts know the load well; above it, more requests
	// wait beside free slots.
	secondCost = 0.4
	// otherZoneCost is the same for an upstream of another zone, with Policy.ZoneCopies. Bytes
	// between zones are expensive, and the object is warm in both.
	otherZoneCost = 0.4
	// otherRegionCost is added to the load of an upstream in another region than the host's.
	// It keeps the share of requests that leave their region as it is without Policy.EvenLoad.
	otherRegionCost = 0.35
)

// meanReport is the mean of the requests that an upstream reported, except this host's.
type meanReport struct {
	requests float64
	// weight is the number of reports in the mean, each weighted by its age at the time of
	// the last one.
	weight float64
}

// add adds a report that arrived a time after the previous one.
func (m *meanReport) add(requests float64, after time.Duration) {
	m.weight = m.weightAfter(after) + 1
	m.requests += (requests - m.requests) / m.weight
}

// weightAfter returns the weight a time after the last report.
func (m *meanReport) weightAfter(d time.Duration) float64 {
	return m.weight * math.Exp(-d.Seconds()/reportMemory.Seconds())
}

// expected returns the expected load of an upstream in its capacities: this host's
// outstanding requests, and those that others have there according to the mean of the
// reports and the last of them. regionMean is the mean report of the region's upstreams,
// in capacities; without reports, it alone is expected.
func (e *loadEstimate) expected(now time.Time, capacity int, regionMean float64) float64 {
	slots := float64(max(1, capacity))
	others := regionMean * slots
	if !e.reportedAt.IsZero() {
		age := max(0, now.Sub(e.reportedAt))
		weight := e.mean.weightAfter(age)
		others = (weight*e.mean.requests + priorReports*others) / (weight + priorReports)
		last := float64(max(0, e.reported-e.outstandingAtReport))
		others += (last - others) * math.Exp(-age.Seconds()/reportRelevance.Seconds())
	}
	return (float64(e.outstanding) + others) / slots
}

// addReports adds the reports of an upstream to the mean of its region.
func (r *regionSummary) addReports(s *state, u *upstream.Upstream, now time.Time) {
	if s == nil || s.load.reportedAt.IsZero() {
		return
	}
	weight := s.load.mean.weightAfter(max(0, now.Sub(s.load.reportedAt)))
	r.reportWeight += weight
	r.reported += weight * s.load.mean.requests / float64(max(1, u.Capacity))
}

// meanReport returns the mean report of a region's upstreams, in their capacities, and
// whether it is known.
func (s *summary) meanReport(region string) (mean float64, known bool) {
	for i := range s.regions {
		if r := &s.regions[i]; r.region == region && r.reportWeight >= minReportWeight {
			return r.reported / r.reportWeight, true
		}
	}
	return 0, false
}

// expect sets the expected loads of a preference list, with the cost of other regions. It returns false if the load of an
// upstream is unknown because none in its region reports.
func (b *Balancer) expect(list []scored, sum *summary, now time.Time) bool {
	for i := range list {
		x := &list[i]
		mean, known := sum.meanReport(x.upstream.Region)
		if !known {
			for i := range list {
				list[i].expected = 0
			}
			return false
		}
		x.expected = x.state.load.expected(now, x.upstream.Capacity, mean)
		if x.upstream.Region != b.location.Region {
			x.expected += otherRegionCost
		}
	}
	return true
}

// pickEven returns the rank of the upstream with the lowest expected load among those of
// the preference list that accept the request. A later upstream has to have an advantage
// of secondCost. One that is tried last serves only if no earlier one accepts the request.
// Whether an upstream accepts a request is decided by the low estimate of its load, because
// a wrong rejection costs more than a wrong choice.
func pickEven(list []scored, a admission) (int, Reason) {
	best, reason, lowest := -1, Overloaded, 0.0
	for i := range list {
		x := &list[i]
		switch a.check(x, a.threshold) {
		case Overloaded:
			continue
		case WarmUpLimited:
			reason = WarmUpLimited
			continue
		}
		load := x.expected
		if i > 0 {
			load += a.laterCost(x, &list[0])
		}
		if best < 0 || load < lowest && !x.triedLast {
			best, lowest = i, load
		}
	}
	if best < 0 {
		return 0, reason
	}
	return best, Chosen
}

// laterCost returns the advantage that a later upstream of a preference list has to have over
// the first.
func (a admission) laterCost(later, first *scored) float64 {
	if a.zoneCopies && later.upstream.Zone != first.upstream.Zone {
		return otherZoneCost
	}
	return secondCost
}

// passedOver returns the first upstream of a list that accepts the request, if it is not the
// chosen one because of its expected load.
func passedOver(list []scored, rank int, a admission) *PassedOver {
	if !a.policy.EvenLoad {
		return nil
	}
	chosen := &list[rank]
	for i := range list[:rank] {
		x := &list[i]
		if x.expected > chosen.expected && a.check(x, a.threshold) == Chosen {
			return &PassedOver{Upstream: x.upstream.ID, Expected: x.expected, ChosenExpected: chosen.expected, LoadAge: x.state.load.reportAge(a.now)}
		}
	}
	return nil
}
