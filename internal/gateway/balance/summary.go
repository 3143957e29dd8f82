package balance

import (
	"cmp"
	"slices"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// summaryTTL is how long a summary of a list is valid. Its content, the capacity of
	// regions and whether most upstreams fail, changes over seconds.
	summaryTTL = 50 * time.Millisecond
	// summaryTTLPerUpstream extends the TTL for each upstream, so that a host spends about
	// 1/400 of its CPU time on summaries, however many upstreams there are.
	// A summary takes 0.05 us per upstream (BenchmarkSummary).
	summaryTTLPerUpstream = 20 * time.Microsecond
)

// summary aggregates the upstreams of a list for the choice of one of them.
type summary struct {
	madeAt time.Time
	// size is the number of upstreams.
	size    int
	regions []regionSummary
}

// regionSummary is a summary of the upstreams of one region.
type regionSummary struct {
	region string
	// capacity is the number of requests that the upstreams process concurrently.
	capacity int
	// ejected and healthy are the numbers of upstreams that are ejected and that are not.
	ejected, healthy int
	// healthyLoad is the sum of the loads of the healthy upstreams, in capacities.
	healthyLoad float64
	// zones are the zones with upstreams, sorted; only set with Policy.ZoneCopies.
	zones []string
	// reported is the sum of the mean reports of upstreams, in capacities, by their weight,
	// and reportWeight the sum of the weights; only set with Policy.EvenLoad.
	reported, reportWeight float64
}

// summary returns the summary of a query's upstreams, which is cached while the list is
// the same. Lists are not changed once they are made, so the first upstream and the length
// identify a list.
func (b *Balancer) summary(q Query) *summary {
	if len(q.Upstreams) == 0 {
		return &summary{}
	}
	s := b.summaries[q.Upstreams[0]]
	if s == nil || !s.isValid(q) {
		s = b.summarize(q)
		b.summaries[q.Upstreams[0]] = s
	}
	return s
}

// isValid reports whether the summary is still valid for a query's upstreams.
func (s *summary) isValid(q Query) bool {
	age := q.Now.Sub(s.madeAt)
	return s.size == len(q.Upstreams) && age >= 0 && age < summaryTTL+time.Duration(s.size)*summaryTTLPerUpstream
}

func (b *Balancer) summarize(q Query) *summary {
	s := &summary{madeAt: q.Now, size: len(q.Upstreams)}
	for _, u := range q.Upstreams {
		r := s.region(u.Region)
		r.capacity += u.Capacity
		if b.policy.ZoneCopies {
			r.addZone(u.Zone)
		}
		if b.policy.EvenLoad {
			r.addReports(b.states[u.Run()], u, q.Now)
		}
		if b.detector.Ejected(u.Run(), q.Now) {
			r.ejected++
			continue
		}
		r.healthy++
		r.healthyLoad += b.knownLoad(u, q.Now)
	}
	slices.SortFunc(s.regions, func(a, b regionSummary) int { return cmp.Compare(a.region, b.region) })
	return s
}

// region returns the summary of a region, and adds an empty one if there is none.
func (s *summary) region(name string) *regionSummary {
	for i := range s.regions {
		if s.regions[i].region == name {
			return &s.regions[i]
		}
	}
	s.regions = append(s.regions, regionSummary{region: name})
	return &s.regions[len(s.regions)-1]
}

// knownLoad returns an upstream's estimated load, in its capacities; zero if the host has
// no state of it.
func (b *Balancer) knownLoad(u *upstream.Upstream, now time.Time) float64 {
	if s := b.states[u.Run()]; s != nil {
		return s.load.inCapacities(now, u.Capacity, b.policy.ReportTTLIntervals)
	}
	return 0
}
