package soak

import (
	"slices"
	"sync"
	"time"
)

// outcome is how a request ended for its client.
type outcome uint8

const (
	// served is a complete response of an upstream.
	served outcome = iota
	// refused is a response that guarantees that the request did not run.
	refused
	// closed is a connection that the host closed before the response was complete.
	closed
	// failed is any other end.
	failed
	// outcomes is the number of outcomes.
	outcomes
)

// recordedFault is a fault of a run. The page's template reads its fields.
type recordedFault struct {
	// At is the time from the start of the run to that of the fault, and For the
	// duration of the fault.
	At   time.Duration
	For  time.Duration
	Name string
}

// second holds the events of one second of a run.
type second struct {
	ends      [outcomes]int
	latencies []time.Duration
	hosts     int
	upstreams int
}

// recorder records a run second by second. page_test.go writes it as a page with plots.
// The methods may be called concurrently.
type recorder struct {
	title string
	began time.Time

	mu      sync.Mutex
	seconds []second
	faults  []recordedFault
	// lastFailed is the start of the last request that failed or was refused.
	lastFailed time.Time
}

// newRecorder returns a recorder of a run that begins now.
func newRecorder(title string) *recorder { return &recorder{title: title, began: time.Now()} }

// request records a request in the second in which it began.
func (r *recorder) request(began time.Time, took time.Duration, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.secondOf(began)
	s.ends[o]++
	switch o {
	case served:
		s.latencies = append(s.latencies, took)
	case refused, failed:
		if began.After(r.lastFailed) {
			r.lastFailed = began
		}
	}
}

// lastFailure returns the start of the last request that failed or was refused.
func (r *recorder) lastFailure() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastFailed
}

// totals returns the number of requests so far by outcome.
func (r *recorder) totals() (ends [outcomes]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.seconds {
		for o, n := range s.ends {
			ends[o] += n
		}
	}
	return ends
}

// alive records how many hosts and upstreams run now.
func (r *recorder) alive(hosts, upstreams int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.secondOf(time.Now())
	s.hosts, s.upstreams = hosts, upstreams
}

// fault records a fault that began at a time and has just ended.
func (r *recorder) fault(began time.Time, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, recordedFault{At: began.Sub(r.began), For: time.Since(began), Name: name})
}

// recordedFaults returns the faults in the order of their start.
func (r *recorder) recordedFaults() []recordedFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(slices.Values(r.faults), func(a, b recordedFault) int { return int(a.At - b.At) })
}

// secondOf returns the second that contains a time. The caller must hold r.mu.
func (r *recorder) secondOf(at time.Time) *second {
	n := max(0, int(at.Sub(r.began)/time.Second))
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, second{})
	}
	return &r.seconds[n]
}

// quantile returns the latency below which a fraction of a second's responses were.
func (s *second) quantile(fraction float64) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.latencies))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
