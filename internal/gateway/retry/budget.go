// Package retry decides whether a request is sent to a second upstream (rule.go),
// when a client whose request was refused should return (after.go), and bounds
// how often requests are sent again, so that failures do not multiply the load on
// the upstreams that are left (budget.go).
//
// A Budget owns one host's counts of requests and retries. The limit holds for
// all hosts together without any message between them: each host uses the
// part that its own requests give it, and a part of the constant slack once it
// knows who shares that and what was spent. It relies on its caller for that part.
package retry

import (
	"fmt"
	"sync"
	"time"
)

const (
	// buckets is how many parts a window is counted in: more make it slide
	// more evenly and cost more to sum up.
	buckets = 10
	// safetyMargin is the part of the limit that is used. The platform counts
	// retries when they arrive and in windows that begin at any moment, which
	// are not aligned with this host's buckets.
	safetyMargin = 0.75
)

// Limits bound the retries of one service in any window, over all hosts
// together: Ratio x requests + Slack.
type Limits struct {
	// Ratio is how many retries each request allows.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Slack is how many retries are allowed in a window besides.
	Slack float64
}

// allowed returns how many retries this host may send in a window in which it
// had a number of requests, with a part of the slack.
func (l Limits) allowed(requests int, slack float64) float64 {
	return safetyMargin * (l.Ratio*float64(requests) + slack)
}

// slackFor is what a host may use of the slack whose part of it is given, from 0 to
// 1. It has none before its process has run for a window, as the one before it may
// have spent the part. The part that requests give needs no knowledge.
func (l Limits) slackFor(part float64, uptime time.Duration) float64 {
	if uptime < l.Window {
		return 0
	}
	return l.Slack * part
}

// Budget counts one host's requests and retries of each service. It is safe
// for concurrent use. It is not selector/steer's: this limit is the platform's
// and shared by all hosts in a window of time; that one is the service's own
// setting, which each host counts for itself without a clock.
type Budget struct {
	limits Limits
	// rounding is added to what is allowed before that is rounded down, from 0 to below 1.
	// Where each of many hosts has few requests, each would be allowed less than one retry,
	// and all of them together none. Drawn at random by each process, the allowances of all
	// hosts add up to the limit's on average, and safetyMargin leaves room for the draw.
	rounding float64
	// started is when the process started, and the first bucket. Buckets are
	// numbered by the monotonic time since then, as the time of day may jump.
	started time.Time

	mu       sync.Mutex
	services map[string]*window
}

// NewBudget makes a budget that has seen no requests, for a process that started at
// a time. rounding is drawn at random by each process, from 0 to below 1.
func NewBudget(l Limits, started time.Time, rounding float64) *Budget {
	return &Budget{limits: l, started: started, rounding: rounding, services: map[string]*window{}}
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service, now).current().requests++
}

// TryRetry counts a retry and returns true, unless this host has used up its
// part of the service's limit. slackPart is its part of the slack, from 0 to 1. The
// parts of all hosts must not add up to more than 1, whomever they see alive.
func (b *Budget) TryRetry(service string, slackPart float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.usage(service, slackPart, now).leavesOne() {
		return false
	}
	b.window(service, now).current().retries++
	return true
}

// Usage is what a host has used of its part of a service's limit, in the window that ends
// now.
type Usage struct {
	// Requests and Retries are the host's own.
	Requests, Retries int
	// Slack is the host's part of Limits.Slack, and Allowed how many retries Requests and
	// Slack allow it, with its rounding.
	Slack, Allowed float64
}

// leavesOne reports whether one more retry is allowed.
func (u Usage) leavesOne() bool { return float64(u.Retries+1) <= u.Allowed }

// String says how much is used of how much, and where that comes from.
func (u Usage) String() string {
	return fmt.Sprintf("%d of %.2f retries used, for %d requests and a slack of %.2f", u.Retries, u.Allowed, u.Requests, u.Slack)
}

// Usage returns what this host has used of its part of a service's limit. slackPart is
// that of TryRetry.
func (b *Budget) Usage(service string, slackPart float64, now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(service, slackPart, now)
}

// usage is Usage; b.mu is held.
func (b *Budget) usage(service string, slackPart float64, now time.Time) Usage {
	total := b.window(service, now).total()
	slack := b.limits.slackFor(slackPart, now.Sub(b.started))
	return Usage{Requests: total.requests, Retries: total.retries, Slack: slack, Allowed: b.rounding + b.limits.allowed(total.requests, slack)}
}

// Return gives a retry back that was taken at the same moment and not sent.
func (b *Budget) Return(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.window(service, now).current()
	c.retries = max(0, c.retries-1)
}

// window returns a service's window, advanced to now.
func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	w.advance(int64(now.Sub(b.started) / (b.limits.Window / buckets)))
	return w
}

// counts are the requests and retries of a span of time.
type counts struct {
	requests int
	retries  int
}

// window is a ring of the last buckets; newest is the number of the current
// one.
type window struct {
	newest int64
	ring   [buckets]counts
}

func (w *window) current() *counts { return &w.ring[w.newest%buckets] }

// advance moves the window to a bucket and clears those that it passes.
func (w *window) advance(bucket int64) {
	if bucket-w.newest > buckets {
		w.newest = bucket - buckets
	}
	for w.newest < bucket {
		w.newest++
		*w.current() = counts{}
	}
}

func (w *window) total() counts {
	var sum counts
	for _, c := range w.ring {
		sum.requests += c.requests
		sum.retries += c.retries
	}
	return sum
}
