package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/gateway/upstream"
)

// maxRoutes is the maximum number of routes that evidence tells apart, which bounds its
// size. Further routes count together, as otherRoutes.
const maxRoutes = 48

// otherRoutes stands for the routes that are not told apart.
const otherRoutes = "*"

// Evidence counts what hosts observed of a service since its roll-out was ordered. The
// evidence of several hosts adds up.
type Evidence struct {
	Routes map[string]RouteEvidence `msgpack:"r,omitempty" json:"routes,omitempty"`
	// Groups are the outcomes at the target's upstreams, which are put into groups by the
	// hash of their runs.
	Groups map[int]GroupOutcomes `msgpack:"g,omitempty" json:"groups,omitempty"`
	// Positions are the first attempts by the position of their key. Hosts of older versions
	// do not send them.
	Positions Positions `msgpack:"p,omitempty" json:"positions,omitempty"`
}

// GroupOutcomes counts the attempts at a group of upstreams, like Outcomes.
type GroupOutcomes struct {
	Ended    int `msgpack:"e,omitempty" json:"ended,omitempty"`
	Failed   int `msgpack:"f,omitempty" json:"failed,omitempty"`
	Compared int `msgpack:"c,omitempty" json:"compared,omitempty"`
	Slow     int `msgpack:"w,omitempty" json:"slow,omitempty"`
}

func (g GroupOutcomes) plus(other GroupOutcomes) GroupOutcomes {
	return GroupOutcomes{g.Ended + other.Ended, g.Failed + other.Failed, g.Compared + other.Compared, g.Slow + other.Slow}
}

// maxGroups is the number of groups of upstreams, which bounds the size of evidence.
const maxGroups = 64

// groupOf returns the group of a run.
func groupOf(run upstream.Run) int { return int(xxhash.Sum64String(string(run)) % maxGroups) }

// RouteEvidence is the evidence of one route, for the target and for all other versions.
type RouteEvidence struct {
	Target Outcomes `msgpack:"t" json:"target"`
	Others Outcomes `msgpack:"o" json:"others"`
}

// Outcomes counts the attempts at upstreams.
type Outcomes struct {
	// Sent is the number of attempts that were sent, and Ended the number of those that
	// got a response or failed. Failed is the number of failures among these.
	Sent   int `msgpack:"s,omitempty" json:"sent,omitempty"`
	Ended  int `msgpack:"e,omitempty" json:"ended,omitempty"`
	Failed int `msgpack:"f,omitempty" json:"failed,omitempty"`
	// Compared is the number of attempts whose latency is compared: at upstreams that
	// were not cold. Slow is the number of slow ones among these.
	Compared int `msgpack:"c,omitempty" json:"compared,omitempty"`
	Slow     int `msgpack:"w,omitempty" json:"slow,omitempty"`
	// Latency has the latencies of the compared attempts.
	Latency Histogram `msgpack:"l,omitempty" json:"latency,omitempty"`
}

// newEvidence returns evidence without attempts.
func newEvidence() Evidence {
	return Evidence{Routes: map[string]RouteEvidence{}, Groups: map[int]GroupOutcomes{}, Positions: Positions{}}
}

// clone returns a copy that shares no map with e.
func (e Evidence) clone() Evidence { return newEvidence().plus(e) }

// plus returns the sum of two evidences, which shares no map with either.
func (e Evidence) plus(other Evidence) Evidence {
	sum := newEvidence()
	sum.Positions = e.Positions.plus(other.Positions)
	for _, groups := range []map[int]GroupOutcomes{e.Groups, other.Groups} {
		for group, g := range groups {
			group = max(0, min(group, maxGroups-1))
			sum.Groups[group] = sum.Groups[group].plus(g)
		}
	}
	for _, routes := range []map[string]RouteEvidence{e.Routes, other.Routes} {
		for name, r := range routes {
			if _, known := sum.Routes[name]; !known && len(sum.Routes) >= maxRoutes {
				name = otherRoutes
			}
			old := sum.Routes[name]
			sum.Routes[name] = RouteEvidence{Target: old.Target.plus(r.Target), Others: old.Others.plus(r.Others)}
		}
	}
	return sum
}

func (o Outcomes) plus(other Outcomes) Outcomes {
	return Outcomes{
		Sent: o.Sent + other.Sent, Ended: o.Ended + other.Ended, Failed: o.Failed + other.Failed,
		Compared: o.Compared + other.Compared, Slow: o.Slow + other.Slow, Latency: o.Latency.plus(other.Latency),
	}
}

// add adds the outcome of attempts that ended.
func (o *Outcomes) add(c GroupOutcomes) {
	o.Ended += c.Ended
	o.Failed += c.Failed
	o.Compared += c.Compared
	o.Slow += c.Slow
}

// addLatency counts a latency. It changes the histogram, which must not be shared.
func (o *Outcomes) addLatency(d time.Duration) {
	if o.Latency == nil {
		o.Latency = Histogram{}
	}
	o.Latency[bucketOf(d)]++
}

// total returns the outcomes of all routes.
func (e Evidence) total() RouteEvidence {
	var sum RouteEvidence
	for _, r := range e.Routes {
		sum = RouteEvidence{Target: sum.Target.plus(r.Target), Others: sum.Others.plus(r.Others)}
	}
	return sum
}

const (
	// bucketsPerDoubling is the number of buckets of a histogram for each doubling of the
	// latency, which makes a quantile accurate to 5%.
	bucketsPerDoubling = 8
	// maxBucket is the bucket of all latencies above 65 s.
	maxBucket = 16 * bucketsPerDoubling
	// histogramBase is the upper bound of the first bucket.
	histogramBase = time.Millisecond
)

// Histogram counts latencies by bucket. The upper bounds of the buckets grow exponentially.
type Histogram map[int]int

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d <= histogramBase {
		return 0
	}
	bucket := math.Ceil(bucketsPerDoubling * math.Log2(float64(d)/float64(histogramBase)))
	return min(int(bucket), maxBucket)
}

// middle returns the geometric mean of a bucket's bounds.
func middle(bucket int) time.Duration {
	return time.Duration(float64(histogramBase) * math.Pow(2, (float64(bucket)-0.5)/bucketsPerDoubling))
}

// plus returns the sum of two histograms. A bucket outside the range, as another version
// may send, counts as the nearest one.
func (h Histogram) plus(other Histogram) Histogram {
	sum := make(Histogram, max(len(h), len(other)))
	for _, counts := range []Histogram{h, other} {
		for bucket, n := range counts {
			sum[max(0, min(bucket, maxBucket))] += n
		}
	}
	return sum
}

// quantile returns a quantile, from 0 to 1; zero without latencies.
func (h Histogram) quantile(q float64) time.Duration {
	total := 0
	for _, n := range h {
		total += n
	}
	left := int(math.Ceil(q * float64(total)))
	for _, bucket := range slices.Sorted(maps.Keys(h)) {
		if left -= h[bucket]; left <= 0 && h[bucket] > 0 {
			return middle(bucket)
		}
	}
	return 0
}
