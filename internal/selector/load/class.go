package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The outcomes that are counted beside the verdicts of hosts. They are keys of
// Result.Verdicts.
const (
	// answered is a response of an upstream.
	answered = "answered"
	// broken is a connection that failed before the whole response was read.
	broken = "broken connection"
)

// classRun collects what the requests of one class got.
type classRun struct {
	class Class

	mu       sync.Mutex
	result   Result
	answered *hdrhistogram.Histogram // latencies of responses of upstreams
	refused  *hdrhistogram.Histogram // latencies of all else
}

func newClassRun(c Class) *classRun {
	return &classRun{
		class: c, answered: newLatencies(), refused: newLatencies(),
		result: Result{Class: c.Name, Verdicts: map[string]int{}, Zones: map[string]int{}},
	}
}

// newLatencies makes a histogram of latencies in microseconds.
func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency, latencyDigits)
}

// record adds one request that took some time from when it was due.
func (cr *classRun) record(got reply, took time.Duration) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.result.Offered++
	cr.result.Verdicts[got.verdict]++
	if got.zone != "" {
		cr.result.Zones[got.zone]++
	}
	// Within the histograms' range RecordValue can't fail.
	us := max(1, min(took.Microseconds(), longestLatency))
	if got.verdict != answered {
		_ = cr.refused.RecordValue(us)
		return
	}
	cr.result.Bytes += got.bytes
	_ = cr.answered.RecordValue(us)
}

// finish returns the result with its percentiles.
func (cr *classRun) finish() Result {
	out := cr.result
	out.P50, out.P99 = cr.answered.ValueAtPercentile(50), cr.answered.ValueAtPercentile(99)
	out.P999, out.Max = cr.answered.ValueAtPercentile(99.9), cr.answered.Max()
	out.RefusedP50, out.RefusedP99 = cr.refused.ValueAtPercentile(50), cr.refused.ValueAtPercentile(99)
	return out
}
