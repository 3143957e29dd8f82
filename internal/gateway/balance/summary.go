package balance

import (
	"cmp"
	"slices"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// summaryEvery is how long a summary of a list holds. What it says, how much
	// capacity regions have and whether most upstreams fail, changes over seconds.
	summaryEvery = 50 * time.Millisecond
	// summaryEveryUpstream is how much longer it holds for each upstream, so that a
	// host spends about 1 part in 400 of its processor time on summaries, however
	// many upstreams there are: one takes 0.05 us an upstream (BenchmarkSummary).
	summaryEveryUpstream = 20 * time.Microsecond
)

// summary is what a choice asks of all upstreams of a list together.
type summary struct {
	at time.Time
	// size is how many upstreams there are.
	size    int
	regions []regionSummary
}

// regionSummary is a summary of the upstreams of one region.
type regionSummary struct {
	region string
	// capacity is what they work on at once, in requests.
	capacity int
	// ejected are how many are ejected, and healthy how many are not.
	ejected, healthy int
	// healthyLoad is the sum of the loads of these, in capacities.
	healthyLoad float64
}

// summary returns that of a query's upstreams, which it keeps while the list is the
// same. Lists are not changed once they are made, so that the first upstream and the
// number of them tell lists apart.
func (b *Balancer) summary(q Query) *summary {
	if len(q.Upstreams) == 0 {
		return &summary{}
	}
	s := b.summaries[q.Upstreams[0]]
	if s == nil || !s.holds(q) {
		s = b.summarize(q)
		b.summaries[q.Upstreams[0]] = s
	}
	return s
}

// holds reports whether the summary is still that of a query's upstreams.
func (s *summary) holds(q Query) bool {
	age := q.Now.Sub(s.at)
	return s.size == len(q.Upstreams) && age >= 0 && age < summaryEvery+time.Duration(s.size)*summaryEveryUpstream
}

func (b *Balancer) summarize(q Query) *summary {
	s := &summary{at: q.Now, size: len(q.Upstreams)}
	for _, u := range q.Upstreams {
		r := s.region(u.Region)
		r.capacity += u.Capacity
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

// region returns the summary of a region, which it adds if there is none.
func (s *summary) region(name string) *regionSummary {
	for i := range s.regions {
		if s.regions[i].region == name {
			return &s.regions[i]
		}
	}
	s.regions = append(s.regions, regionSummary{region: name})
	return &s.regions[len(s.regions)-1]
}

// knownLoad is an upstream's estimated load, in its capacities; zero if the host knows
// nothing of it.
func (b *Balancer) knownLoad(u *upstream.Upstream, now time.Time) float64 {
	if s := b.states[u.Run()]; s != nil {
		return s.load.inCapacities(now, u.Capacity, b.policy.ReportLasts)
	}
	return 0
}
