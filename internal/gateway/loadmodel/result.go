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

// ending is the way in which a call ended.
type ending uint8

const (
	// responded is a response that arrived before the deadline of the client.
	responded ending = iota
	// timedOut is a response that arrived after the deadline of the client.
	timedOut
	// rejected is a call that was refused and not retried.
	rejected
	// errored is a call that failed and may have run.
	errored
)

// Figures counts calls by their results. InTime and Late count the responses within
// and after the objective of the route. Failed includes the calls that timed out.
type Figures struct {
	Calls, InTime, Late, Refused, Failed int
	// TotalWeight is the weight of all calls, and EarnedWeight the weight of the
	// responses, where a late response has the late weight of its route.
	TotalWeight, EarnedWeight float64
}

// Credit returns EarnedWeight as a fraction of TotalWeight, or 0 without calls.
func (f Figures) Credit() float64 {
	if f.TotalWeight == 0 {
		return 0
	}
	return f.EarnedWeight / f.TotalWeight
}

// Result has the figures of one run.
type Result struct {
	Variant string
	Total   Figures
	// Regions, Routes and Seconds have the figures by the region of the client, by
	// route, and by the second of the run in which the client sent its call.
	Regions map[string]*Figures
	Routes  map[string]*Figures
	Seconds map[int]*Figures
	// FirstLoads is the number of requests for objects that were not in the cache of
	// the upstream.
	FirstLoads int
	// Attempts is the number of requests sent to upstreams. CrossRegion is the number of
	// these that went to a region other than that of the host, and CrossZone the number of
	// those that went to another zone of its region.
	Attempts, CrossRegion, CrossZone int
	// CrossZoneBytes is the size of the requests and responses of CrossZone.
	CrossZoneBytes int64
	// shifts has the attempts by the region of the host and by window of shiftWindow.
	shifts map[string]map[int]*shift
	// Messages is the number of messages with load reports between hosts, and MessageBytes
	// their size.
	Messages, MessageBytes int
	// Spread describes how evenly the requests were spread over the upstreams.
	Spread Spread
	// Rollouts are the roll-outs of the scenario, in its order.
	Rollouts []*RolloutResult

	latencies *hdrhistogram.Histogram
}

// maxLatencyMS is the largest latency that the histogram records, in milliseconds.
const maxLatencyMS = 60_000

func newResult() *Result {
	return &Result{
		Regions: map[string]*Figures{}, Routes: map[string]*Figures{}, Seconds: map[int]*Figures{},
		latencies: hdrhistogram.New(1, maxLatencyMS, 3), Spread: newSpread(),
		shifts: map[string]map[int]*shift{},
	}
}

// Latency returns a percentile of the latency of responses that arrived before the
// deadline. The percentile is in percent, from 0 to 100.
func (r *Result) Latency(percent float64) time.Duration {
	return time.Duration(r.latencies.ValueAtQuantile(percent)) * time.Millisecond
}

// WorstRegion returns the smallest credit of all regions, or 1 without regions.
func (r *Result) WorstRegion() float64 {
	worst := 1.0
	for _, f := range r.Regions {
		worst = min(worst, f.Credit())
	}
	return worst
}

// sent records a request that was sent to an upstream.
func (r *Result) sent(from *zoneState, to *upstream.Upstream, route *Route) {
	r.Attempts++
	switch {
	case from.Region != to.Region:
		r.CrossRegion++
	case from.Name != to.Zone:
		r.CrossZone++
		r.CrossZoneBytes += route.Bytes
	}
}

// reportsSent records a message with n load reports.
func (r *Result) reportsSent(n int) {
	r.Messages++
	r.MessageBytes += n * zoneReportBytes
}

// add records the end of a call and the latency of its response.
func (r *Result) add(c *call, e ending, latency time.Duration) {
	if e == responded {
		// An error means a latency above maxLatencyMS, which no deadline allows.
		_ = r.latencies.RecordValue(latency.Milliseconds())
	}
	second := int(c.sent.Sub(c.model.start) / time.Second)
	for _, f := range []*Figures{&r.Total, figuresOf(r.Regions, c.zone.Region), figuresOf(r.Routes, c.route.Name), figuresOf(r.Seconds, second)} {
		f.add(c.route, e, latency)
	}
}

func figuresOf[K comparable](m map[K]*Figures, key K) *Figures {
	if m[key] == nil {
		m[key] = &Figures{}
	}
	return m[key]
}

func (f *Figures) add(r *Route, e ending, latency time.Duration) {
	f.Calls++
	f.TotalWeight += r.Weight
	switch {
	case e == responded && (r.Objective == 0 || latency <= time.Duration(r.Objective)):
		f.InTime++
		f.EarnedWeight += r.Weight
	case e == responded:
		f.Late++
		f.EarnedWeight += r.LateWeight
	case e == rejected:
		f.Refused++
	default:
		f.Failed++
	}
}

// Print writes the results of a scenario's variants as a table: one row for each
// variant, then the credit of each variant by second. It returns an error if writing
// fails.
func Print(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "variant\tcalls\tcredit\tworst region\tin time\tlate\trefused\tfailed\tfirst loads\taway\tshift\tother zone\tMB\tp50\tp99\t")
	for _, r := range results {
		n := float64(max(1, r.Total.Calls))
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%.3f\t%.3f\t%.3f\t%.1f\t%s\t%s\t\n", r.Variant, r.Total.Calls, r.Total.Credit(), r.WorstRegion(),
			float64(r.Total.InTime)/n, float64(r.Total.Late)/n, float64(r.Total.Refused)/n, float64(r.Total.Failed)/n,
			r.FirstLoads, float64(r.CrossRegion)/float64(max(1, r.Attempts)), r.LargestShift(), float64(r.CrossZone)/float64(max(1, r.Attempts)), float64(r.CrossZoneBytes)/1e6, r.Latency(50), r.Latency(99))
	}
	printSpread(t, results)
	printRollouts(t, results)
	fmt.Fprintln(t, "\nsecond\tcredit of each variant\t")
	for _, second := range allSeconds(results) {
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

// printSpread writes how evenly each variant spread the requests.
func printSpread(t io.Writer, results []*Result) {
	fmt.Fprintln(t, "\nvariant\tbeside a free slot: zone\tregion\tbusiest/mean: requests\ttime\tno report\treport age p50\tp90\tmessages/s\tKB/s\t")
	for _, r := range results {
		s := &r.Spread
		arrivals, choices := float64(max(1, s.Arrivals)), float64(max(1, s.Choices))
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%.2f\t%.2f\t%.3f\t%s\t%s\t%.0f\t%.1f\t\n", r.Variant, float64(s.BesideFreeInZone)/arrivals, float64(s.BesideFreeInRegion)/arrivals,
			s.BusiestByRequests, s.BusiestByTime, float64(s.Unreported)/choices, s.ReportAge(50), s.ReportAge(90),
			float64(r.Messages)/r.seconds(), float64(r.MessageBytes)/1000/r.seconds())
	}
}

// seconds returns the length of the load, in seconds.
func (r *Result) seconds() float64 { return float64(max(1, len(r.Seconds))) }

// allSeconds returns the sorted seconds for which any result has figures.
func allSeconds(results []*Result) []int {
	all := map[int]bool{}
	for _, r := range results {
		for s := range r.Seconds {
			all[s] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
