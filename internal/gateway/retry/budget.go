// Package retry decides whether a request is sent to a second upstream (rule.go) and when
// the client of a refused request should return (after.go). It also limits how often
// requests are sent again, so that failures do not multiply the load on the remaining
// upstreams (budget.go).
//
// A Budget holds the request and retry counts of one host. The limit applies to all hosts
// together, but the hosts exchange no messages to enforce it. Each host uses the share
// that follows from its own requests. In addition it uses a share of the constant slack,
// once it knows which hosts share the slack and how much was spent. The code that calls
// the Budget provides the share of the slack.
package retry

import (
	"fmt"
	"sync"
	"time"
)

const (
	// buckets is the number of buckets in a window. More buckets make the window slide
	// more evenly, but cost more to sum up.
	buckets = 10
	// usedFraction is the fraction of the limit that is used. The platform counts retries
	// on arrival and in windows that begin at any time, which are not aligned with the
	// buckets of this host.
	usedFraction = 0.75
)

// Limits bound the retries of one service in any window, over all hosts together: Ratio *
// requests + Slack.
type Limits struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Slack is the number of additional retries in a window.
	Slack float64
}

// allowed returns how many retries this host may send in a window with the given number
// of requests and the host's share of the slack.
func (l Limits) allowed(requests int, slack float64) float64 {
	return usedFraction * (l.Ratio*float64(requests) + slack)
}

// hostSlack returns the slack that a host may use, in retries per window. share is the
// host's share of the slack, from 0 to 1. The slack is zero until the process has run for
// a window, because the previous process may have spent it. The retries that requests
// allow need no such delay.
func (l Limits) hostSlack(share float64, uptime time.Duration) float64 {
	if uptime < l.Window {
		return 0
	}
	return l.Slack * share
}

// Budget counts the requests and retries of one host for each service. It is safe for
// concurrent use. It differs from the budget of selector/steer: this limit is set by the
// platform and applies to all hosts in a time window. The other limit is a setting of the
// service, which each host enforces for itself without a clock.
type Budget struct {
	limits Limits
	// rounding is added to the allowed retries before they are rounded down, from 0 to
	// below 1. When many hosts have few requests each, every host would be allowed less
	// than one retry, and all hosts together none. Each process draws its rounding at
	// random, so that the retries allowed to all hosts add up to the limit on average.
	// usedFraction leaves a margin for the variation.
	rounding float64
	// started is when the process started, and the start of the first bucket. Buckets are
	// numbered by the monotonic time since then, because the wall clock may jump.
	started time.Time

	mu       sync.Mutex
	services map[string]*window
}

// NewBudget returns a budget without requests for a process that started at the given
// time. Each process draws rounding at random, from 0 to below 1.
func NewBudget(l Limits, started time.Time, rounding float64) *Budget {
	return &Budget{limits: l, started: started, rounding: rounding, services: map[string]*window{}}
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service, now).current().requests++
}

// Grant is a retry that a budget granted.
type Grant struct {
	service string
	// bucket is the number of the bucket in which the retry is counted.
	bucket int64
}

// TryRetry counts a retry and returns its grant, or nil if this host has used up its share
// of the service's limit. slackShare is its share of the slack, from 0 to 1. The shares of all
// hosts must not add up to more than 1, even if the hosts have different views of which
// hosts are alive.
func (b *Budget) TryRetry(service string, slackShare float64, now time.Time) *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.usage(service, slackShare, now).allowsRetry() {
		return nil
	}
	w := b.window(service, now)
	w.current().retries++
	return &Grant{service: service, bucket: w.newest}
}

// Usage is how much of its share of a service's limit a host has used, in the window that
// ends now.
type Usage struct {
	// Requests and Retries are the counts of this host.
	Requests, Retries int
	// Slack is the host's share of Limits.Slack, in retries. Allowed is the number of
	// retries that Requests and Slack allow the host, including its rounding.
	Slack, Allowed float64
}

// allowsRetry reports whether one more retry is allowed.
func (u Usage) allowsRetry() bool { return float64(u.Retries+1) <= u.Allowed }

// String describes the usage and how the allowed number is made up.
func (u Usage) String() string {
	return fmt.Sprintf("%d of %.2f retries used, for %d requests and a slack of %.2f", u.Retries, u.Allowed, u.Requests, u.Slack)
}

// Usage returns how much of its share of a service's limit this host has used. slackShare
// is the same as for TryRetry.
func (b *Budget) Usage(service string, slackShare float64, now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(service, slackShare, now)
}

// usage implements Usage; b.mu must be held.
func (b *Budget) usage(service string, slackShare float64, now time.Time) Usage {
	total := b.window(service, now).total()
	slack := b.limits.hostSlack(slackShare, now.Sub(b.started))
	return Usage{Requests: total.requests, Retries: total.retries, Slack: slack, Allowed: b.rounding + b.limits.allowed(total.requests, slack)}
}

// Return undoes a granted retry that was not sent. It must be called at most once for
// each grant.
func (b *Budget) Return(g *Grant, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.window(g.service, now); w.contains(g.bucket) {
		w.ring[g.bucket%buckets].retries--
	}
}

// window returns the window of a service, advanced to now.
func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	w.advance(int64(now.Sub(b.started) / (b.limits.Window / buckets)))
	return w
}

// counts are the requests and retries in a bucket or window.
type counts struct {
	requests int
	retries  int
}

// window is a ring of the latest buckets. newest is the number of the current bucket.
type window struct {
	newest int64
	ring   [buckets]counts
}

// contains reports whether a bucket is within the window.
func (w *window) contains(bucket int64) bool { return w.newest-bucket < buckets }

func (w *window) current() *counts { return &w.ring[w.newest%buckets] }

// advance moves the window to a bucket and clears the buckets that it passes.
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
