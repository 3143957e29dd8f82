// Package retry bounds how often requests are sent a second time, so that
// failures do not multiply the load on what is left.
package retry

import (
	"sync"
	"time"
)

// slices is how many parts the window is counted in.
const slices = 10

// Limits bound the repeats of one service in a sliding window, over all
// hosts together.
type Limits struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Window is the length of the window.
	Window time.Duration
	// Slack is the repeats allowed besides.
	Slack float64
}

// Budget counts one host's requests and repeats of each service.
type Budget struct {
	limits Limits
	// made is what slices are counted from: the time of day may jump.
	made time.Time

	mu       sync.Mutex
	services map[string]*window
}

// window counts in slices of time; the oldest is used again.
type window struct {
	slice    int64
	requests [slices]int
	retries  [slices]int
}

// NewBudget makes a budget.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, made: time.Now(), services: map[string]*window{}}
}

// margin keeps a host below its part: the far end counts by its own clock,
// and in windows that begin at any moment.
const safetyMargin = 0.75

func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	w.advance(int64(now.Sub(b.made) / (b.limits.Window / slices)))
	return w
}

func (w *window) advance(slice int64) {
	if slice-w.slice > slices {
		w.slice = slice - slices
	}
	for w.slice < slice {
		w.slice++
		w.requests[w.slice%slices] = 0
		w.retries[w.slice%slices] = 0
	}
}

// Request counts a request of a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.slice%slices]++
}

// Take counts a repeat, unless the host has used its part. hosts is how
// many hosts may send repeats of the service.
func (b *Budget) TryRetry(service string, hosts int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, repeats := 0, 0
	for i := range slices {
		requests += w.requests[i]
		repeats += w.retries[i]
	}
	allowed := safetyMargin * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(1, hosts)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.retries[w.slice%slices]++
	return true
}
