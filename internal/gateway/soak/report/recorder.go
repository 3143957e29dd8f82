// Package report records a run under load, second by second, and writes it as
// a page with plots, so that a person sees what happened. It is used by tests
// only, so that the program does not carry its libraries.
package report

import (
	"slices"
	"sync"
	"time"
)

// Outcome is how a request ended for its caller.
type Outcome uint8

// The outcomes.
const (
	// Served is a whole answer of an upstream.
	Served Outcome = iota
	// Refused is a final answer that says that the request did not run.
	Refused
	// Failed is any other end.
	Failed
	outcomes
)

// Fault is something that was done to the system.
type Fault struct {
	// At is when it began, from the run's begin, and For how long it lasted.
	At  time.Duration
	For time.Duration
	// What names it, with its place.
	What string
}

// second is what happened in one second of a run.
type second struct {
	ends      [outcomes]int
	latencies []time.Duration
	hosts     int
	upstreams int
}

// Recorder takes down a run. Its methods may be called at the same time.
type Recorder struct {
	title string
	began time.Time

	mu      sync.Mutex
	seconds []second
	faults  []Fault
}

// New makes a recorder of a run that begins now.
func New(title string) *Recorder { return &Recorder{title: title, began: time.Now()} }

// Request notes a request that began at a time and took a time; it counts in
// the second in which it began.
func (r *Recorder) Request(began time.Time, took time.Duration, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second(began)
	s.ends[o]++
	if o == Served {
		s.latencies = append(s.latencies, took)
	}
}

// Alive notes how many hosts and upstreams run now.
func (r *Recorder) Alive(hosts, upstreams int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second(time.Now())
	s.hosts, s.upstreams = hosts, upstreams
}

// Fault notes a fault that began at a time and has ended now.
func (r *Recorder) Fault(began time.Time, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, Fault{At: began.Sub(r.began), For: time.Since(began), What: what})
}

// Faults gives the faults in the order in which they began.
func (r *Recorder) Faults() []Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(slices.Values(r.faults), func(a, b Fault) int { return int(a.At - b.At) })
}

// second gives the second of a time; r.mu is held.
func (r *Recorder) second(at time.Time) *second {
	n := max(0, int(at.Sub(r.began)/time.Second))
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, second{})
	}
	return &r.seconds[n]
}

// quantile gives the latency below which a part of a second's answers were.
func (s *second) quantile(part float64) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.latencies))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
