package loadmodel

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Spread describes how evenly the requests of a run were spread over the upstreams.
type Spread struct {
	// Arrivals is the number of requests that arrived at upstreams. BesideFreeInZone is the
	// number of those that found all slots of their upstream in use while another upstream
	// of the same service and zone had a free slot; BesideFreeInRegion is the same for the
	// region.
	Arrivals, BesideFreeInZone, BesideFreeInRegion int
	// BusiestByRequests and BusiestByTime are, for the service where it is highest, the
	// requests and the processing time of the busiest upstream, relative to the mean.
	BusiestByRequests, BusiestByTime float64
	// Unreported is the number of choices of an upstream whose load was never reported to
	// the host. Choices is the number of all choices.
	Choices, Unreported int

	ages *hdrhistogram.Histogram
}

func newSpread() Spread {
	return Spread{ages: hdrhistogram.New(1, maxLatencyMS, 3)}
}

// ReportAge returns a percentile (0 to 100) of the age of the reports that choices used.
func (s *Spread) ReportAge(percent float64) time.Duration {
	return time.Duration(s.ages.ValueAtQuantile(percent)) * time.Millisecond
}

// arrived records that a request arrived at an upstream.
func (s *Spread) arrived(u *upstreamSim) {
	s.Arrivals++
	u.arrivals++
	if u.running < u.config.Slots {
		return
	}
	inZone, inRegion := u.freeSlotsNearby()
	if inZone {
		s.BesideFreeInZone++
	}
	if inRegion {
		s.BesideFreeInRegion++
	}
}

// chosen records the age of the load report that a choice used; it is negative if there
// was none.
func (s *Spread) chosen(age time.Duration) {
	s.Choices++
	if age < 0 {
		s.Unreported++
		return
	}
	// An error means an age above maxLatencyMS, which exceeds every scenario's length.
	_ = s.ages.RecordValue(age.Milliseconds())
}

// finish computes the figures that compare upstreams at the end of a run.
func (s *Spread) finish(byService map[string][]*upstreamSim) {
	for _, upstreams := range byService {
		s.BusiestByRequests = max(s.BusiestByRequests, busiest(upstreams, func(u *upstreamSim) float64 { return float64(u.arrivals) }))
		s.BusiestByTime = max(s.BusiestByTime, busiest(upstreams, func(u *upstreamSim) float64 { return u.processing.Seconds() }))
	}
}

// busiest returns the highest figure of the upstreams relative to their mean, or 0 without
// any.
func busiest(upstreams []*upstreamSim, figure func(*upstreamSim) float64) float64 {
	highest, total := 0.0, 0.0
	for _, u := range upstreams {
		highest, total = max(highest, figure(u)), total+figure(u)
	}
	if total == 0 {
		return 0
	}
	return highest / (total / float64(len(upstreams)))
}

// freeSlotsNearby reports whether another upstream of the service has a free slot in the
// same zone and in the same region.
func (u *upstreamSim) freeSlotsNearby() (inZone, inRegion bool) {
	free := func(o *upstreamSim) bool { return !o.down && o.running < o.config.Slots }
	sameZone := func(o *upstreamSim) bool { return o.entry.Zone == u.entry.Zone && free(o) }
	sameRegion := func(o *upstreamSim) bool { return o.entry.Region == u.entry.Region && free(o) }
	all := u.model.byService[u.config.Name]
	inZone = slices.ContainsFunc(all, sameZone)
	return inZone, inZone || slices.ContainsFunc(all, sameRegion)
}
