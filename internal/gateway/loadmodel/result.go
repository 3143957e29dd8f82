package loadmodel

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cairndock/internal/gateway/upstream"
)

// ending is how a call ended.
type ending uint8

const (
	// answered is a response that the client still waited for.
	answered ending = iota
	// gaveUp is a client whose deadline passed before the response came.
	gaveUp
	// rejected is a client that was refused and did not return.
	rejected
	// broken is a call that failed and may have run.
	broken
)

// Figures are what clients got.
type Figures struct {
	Calls, InTime, Late, Refused, Failed int
	// Owed is what all calls were worth, and Earned what they brought.
	Owed, Earned float64
}

// Credit is the part of what was owed that was earned.
func (f Figures) Credit() float64 {
	if f.Owed == 0 {
		return 0
	}
	return f.Earned / f.Owed
}

// Result is what a run's clients got.
type Result struct {
	Variant string
	Total   Figures
	// Regions, Routes and Seconds have the same by the client's region, by route
	// and by the second in which the client sent its call.
	Regions map[string]*Figures
	Routes  map[string]*Figures
	Seconds map[int]*Figures
	// FirstLoads is how often an upstream got an object that it did not keep.
	FirstLoads int
	// Attempts is how many requests were sent to upstreams, and Away how many of
	// these to another region than the host's.
	Attempts, Away int

	took *hdrhistogram.Histogram
}

// maxLatency bounds the latencies that are told apart, in milliseconds.
const maxLatency = 60_000

func newResult() *Result {
	return &Result{
		Regions: map[string]*Figures{}, Routes: map[string]*Figures{}, Seconds: map[int]*Figures{},
		took: hdrhistogram.New(1, maxLatency, 3),
	}
}

// Latency is the time within which a part of the responses came, in percent.
func (r *Result) Latency(percent float64) time.Duration {
	return time.Duration(r.took.ValueAtQuantile(percent)) * time.Millisecond
}

// WorstRegion is the least credit of a region's clients.
func (r *Result) WorstRegion() float64 {
	worst := 1.0
	for _, f := range r.Regions {
		worst = min(worst, f.Credit())
	}
	return worst
}

// sent counts a request that was sent to an upstream.
func (r *Result) sent(from *place, to *upstream.Upstream) {
	r.Attempts++
	if from.Region != to.Region {
		r.Away++
	}
}

// add counts how a call ended, and how long its response took.
func (r *Result) add(c *call, e ending, took time.Duration) {
	if e == answered {
		// An error means a latency above maxLatency, which no deadline allows.
		_ = r.took.RecordValue(took.Milliseconds())
	}
	second := int(c.sent.Sub(c.model.begin) / time.Second)
	for _, f := range []*Figures{&r.Total, figures(r.Regions, c.zone.Region), figures(r.Routes, c.route.Name), figures(r.Seconds, second)} {
		f.add(c.route, e, took)
	}
}

func figures[K comparable](m map[K]*Figures, key K) *Figures {
	if m[key] == nil {
		m[key] = &Figures{}
	}
	return m[key]
}

func (f *Figures) add(r *Route, e ending, took time.Duration) {
	f.Calls++
	f.Owed += r.Weight
	switch {
	case e == answered && (r.Objective == 0 || took <= time.Duration(r.Objective)):
		f.InTime++
		f.Earned += r.Weight
	case e == answered:
		f.Late++
		f.Earned += r.LateWeight
	case e == rejected:
		f.Refused++
	default:
		f.Failed++
	}
}

// Print writes the results of a scenario's variants side by side.
func Print(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "variant\tcalls\tcredit\tworst region\tin time\tlate\trefused\tfailed\tfirst loads\taway\tp50\tp99\t")
	for _, r := range results {
		n := float64(max(1, r.Total.Calls))
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%.3f\t%s\t%s\t\n", r.Variant, r.Total.Calls, r.Total.Credit(), r.WorstRegion(),
			float64(r.Total.InTime)/n, float64(r.Total.Late)/n, float64(r.Total.Refused)/n, float64(r.Total.Failed)/n,
			r.FirstLoads, float64(r.Away)/float64(max(1, r.Attempts)), r.Latency(50), r.Latency(99))
	}
	fmt.Fprintln(t, "\nsecond\tcredit of each variant\t")
	for _, second := range seconds(results) {
		fmt.Fprintf(t, "%d\t", second)
		for _, r := range results {
			if f := r.Seconds[second]; f != nil {
				fmt.Fprintf(t, "%.3f\t", f.Credit())
			}
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// seconds are those of any result.
func seconds(results []*Result) []int {
	all := map[int]bool{}
	for _, r := range results {
		for s := range r.Seconds {
			all[s] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
