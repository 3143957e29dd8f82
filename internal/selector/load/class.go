package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcomes that are counted in addition to the hosts' verdicts. They are keys of
// Result.Verdicts.
const (
	// responded is a response of an upstream.
	responded = "answered"
	// broken is a connection that failed before the whole response was read.
	broken = "broken connection"
)

// classRun collects the outcomes of one class's requests.
type classRun struct {
	class Class

	mu        sync.Mutex
	result    Result
	responded *hdrhistogram.Histogram // latencies of upstreams' responses
	refused   *hdrhistogram.Histogram // latencies of all other outcomes
}

func newClassRun(c Class) *classRun {
	return &classRun{
		class: c, responded: newLatencies(), refused: newLatencies(),
		result: Result{Class: c.Name, Verdicts: map[string]int{}, Zones: map[string]int{}},
	}
}

// newLatencies returns a histogram of latencies in microseconds.
func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// record adds the outcome of one request. latency is the time since the request
// was due.
func (cr *classRun) record(o outcome, latency time.Duration) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.result.Offered++
	cr.result.Verdicts[o.verdict]++
	if o.zone != "" {
		cr.result.Zones[o.zone]++
	}
	// RecordValue can't fail for values within the histogram's range.
	us := max(1, min(latency.Microseconds(), maxLatencyMicros))
	if o.verdict != responded {
		_ = cr.refused.RecordValue(us)
		return
	}
	cr.result.Bytes += o.bytes
	_ = cr.responded.RecordValue(us)
}

// finish returns the result of the class with its percentiles.
func (cr *classRun) finish() Result {
	out := cr.result
	out.P50, out.P99 = cr.responded.ValueAtPercentile(50), cr.responded.ValueAtPercentile(99)
	out.P999, out.Max = cr.responded.ValueAtPercentile(99.9), cr.responded.Max()
	out.RefusedP50, out.RefusedP99 = cr.refused.ValueAtPercentile(50), cr.refused.ValueAtPercentile(99)
	return out
}
