package balance

import (
	"fmt"
	"testing"
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
)

// sizes are the numbers of upstreams: a small service, one of 80 hosts, one of 295, the
// planned one, and two for which the cost of a choice is bounded.
var sizes = []int{20, 204, 1000, 1188, 20000, 43200}

type benchQuota struct{}

func (benchQuota) WarmUpQuota(string, string, float64) warmup.Quota {
	return warmup.Quota{Requests: 1}
}

type benchDetector struct{}

func (benchDetector) Ejected(upstream.Run, time.Time) bool { return false }

func benchUpstreams(n int) []*upstream.Upstream {
	r := upstream.NewRegistry(func(string) time.Duration { return 0 })
	for i := range n {
		r.Put(upstream.Registration{ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "s", Region: fmt.Sprint(i % 3), Zone: fmt.Sprint(i % 9), Capacity: 9}, time.Now())
	}
	return r.Set().Service("s")
}

func newBenchBalancer() *Balancer {
	return New(Location{Zone: "0", Region: "0", Regions: 3}, benchQuota{}, benchDetector{}, DefaultPolicy())
}

// When all upstreams were scored and sorted, a choice with affinity among 20, 204, 1,188
// and 43,200 upstreams took 25 us, 68 us, 428 us and 32 ms, and 1.2, 8.5, 49.7 and 2,400
// KB.
func BenchmarkChoose(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			upstreams, bl := benchUpstreams(n), newBenchBalancer()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c, r := bl.Choose(Query{Key: fmt.Sprint(i % 900), Upstreams: upstreams, Now: time.Now(), WarmUpRate: 10})
				if r == Chosen {
					bl.Done(c)
				}
				i++
			}
		})
	}
}

// With reports of all upstreams, the summaries are part of the cost of a choice.
func BenchmarkChooseEvenly(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := DefaultPolicy()
			p.EvenLoad, p.ZoneCopies = true, true
			upstreams := benchUpstreams(n)
			bl := New(Location{Zone: "0", Region: "0", Regions: 3}, benchQuota{}, benchDetector{}, p)
			for i, u := range upstreams {
				bl.ObserveLoad(u, i%9, 0, time.Now())
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c, r := bl.Choose(Query{Key: fmt.Sprint(i % 900), Upstreams: upstreams, Now: time.Now(), WarmUpRate: 10})
				if r == Chosen {
					bl.Done(c)
				}
				i++
			}
		})
	}
}

func BenchmarkSummary(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q, bl := Query{Upstreams: benchUpstreams(n), Now: time.Now()}, newBenchBalancer()
			for b.Loop() {
				bl.summarize(q)
			}
		})
	}
}
