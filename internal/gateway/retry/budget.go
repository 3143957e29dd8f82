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
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// usedFraction is the fraction of the limit that is used.
	usedFraction = 0.75
	// windowLifetimes is the length of a window in lifetimes of a credit. The credits that
	// are used in a window come from its requests and from those of one lifetime before it,
	// so that usedFraction * (1 + 1/windowLifetimes) must be below 1. The remainder covers
	// the time from the client's request to its arrival here, and from the grant of a retry
	// to its arrival at the upstream.
	windowLifetimes = 5
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

// creditLifetime returns how long a credit lasts.
func (l Limits) creditLifetime() time.Duration { return l.Window / windowLifetimes }

// creditRate returns the number of credits that a request earns.
func (l Limits) creditRate() float64 { return usedFraction * l.Ratio }

// hostSlack returns the slack that a host may use, in retries per window. share is the
// host's share of the slack, from 0 to 1. The slack is zero until the process has run for
// a window, because the previous process may have spent it. The retries that requests
// allow need no such delay.
func (l Limits) hostSlack(share float64, uptime time.Duration) float64 {
	if uptime < l.Window {
		return 0
	}
	return usedFraction * l.Slack * share
}

// Budget counts the requests and retries of one host for each service. It is safe for
// concurrent use. It differs from the budget of selector/steer: this limit is set by the
// platform and applies to all hosts in a time window. The other limit is a setting of the
// service, which each host enforces for itself without a clock.
//
// A request earns a fraction of a credit, and each credit allows one retry. Credits expire
// long before the end of a window. Otherwise the requests of up to two windows could allow
// the retries of one, when clients move from hosts that have just used their credits to
// hosts or new processes that earn credits of their own.
type Budget struct {
	limits Limits
	// rounding is added to the earned credits and to the slack before they are rounded
	// down, from 0 to below 1. When many hosts have few requests each, every host would be
	// allowed less than one retry, and all hosts together none. Each process draws its
	// rounding at random, so that the retries allowed to all hosts add up to the limit on
	// average. usedFraction leaves a margin for the variation.
	rounding float64
	// started is when the process started.
	started time.Time

	mu       sync.Mutex
	services map[string]*serviceRetries
}

// NewBudget returns a budget without requests for a process that started at the given
// time. Each process draws rounding at random, from 0 to below 1.
func NewBudget(l Limits, started time.Time, rounding float64) *Budget {
	return &Budget{limits: l, started: started, rounding: rounding, services: map[string]*serviceRetries{}}
}

// RecordRequest counts a request for a service that arrived at the given time.
func (b *Budget) RecordRequest(service string, arrived time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service, arrived)
	s.requests++
	if b.creditsFor(s.requests) > b.creditsFor(s.requests-1) {
		s.credits = append(s.credits, &credit{expires: arrived.Add(b.limits.creditLifetime())})
	}
}

// creditsFor returns how many credits a number of requests since the start has earned.
func (b *Budget) creditsFor(requests int) float64 {
	return math.Floor(b.rounding + b.limits.creditRate()*float64(requests))
}

// Grant is a retry that a budget granted.
type Grant struct {
	service *serviceRetries
	// credit is the credit that the retry used; nil if it used the slack at slackUsed.
	credit    *credit
	slackUsed time.Time
}

// TryRetry counts a retry and returns its grant, or nil if this host has used up its share
// of the service's limit. slackShare is its share of the slack, from 0 to 1. The shares of all
// hosts must not add up to more than 1, even if the hosts have different views of which
// hosts are alive.
func (b *Budget) TryRetry(service string, slackShare float64, now time.Time) *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service, now)
	if c := s.unusedCredit(now); c != nil {
		c.used = true
		return &Grant{service: s, credit: c}
	}
	if float64(len(s.slackUsed)+1) > b.allowedSlack(slackShare, now) {
		return nil
	}
	s.slackUsed = append(s.slackUsed, now)
	return &Grant{service: s, slackUsed: now}
}

// allowedSlack returns the number of retries that this host's share of the slack allows in
// a window, including its rounding. A host without a share is allowed none.
func (b *Budget) allowedSlack(share float64, now time.Time) float64 {
	slack := b.limits.hostSlack(share, now.Sub(b.started))
	if slack == 0 {
		return 0
	}
	return b.rounding + slack
}

// Return undoes a granted retry that was not sent. It must be called at most once for
// each grant.
func (b *Budget) Return(g *Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.credit != nil {
		g.credit.used = false
		return
	}
	if i := slices.Index(g.service.slackUsed, g.slackUsed); i >= 0 {
		g.service.slackUsed = slices.Delete(g.service.slackUsed, i, i+1)
	}
}

// Usage is how much of its share of a service's limit a host has used.
type Usage struct {
	// Credits is the number of credits that have not expired, and CreditsUsed how many of
	// them were used. Lifetime is how long a credit lasts.
	Credits, CreditsUsed int
	Lifetime             time.Duration
	// Slack is the number of retries that the host's share of Limits.Slack allows in a
	// window, including its rounding. SlackUsed is how many of them were used in the window
	// that ends now.
	Slack     float64
	SlackUsed int
}

// String describes the usage and how the allowed number is made up.
func (u Usage) String() string {
	return fmt.Sprintf("%d of %d retries used that the requests of the last %s allow, and %d of %.2f that the slack allows", u.CreditsUsed, u.Credits, u.Lifetime, u.SlackUsed, u.Slack)
}

// Usage returns how much of its share of a service's limit this host has used. slackShare
// is the same as for TryRetry.
func (b *Budget) Usage(service string, slackShare float64, now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service, now)
	u := Usage{Lifetime: b.limits.creditLifetime(), Slack: b.allowedSlack(slackShare, now), SlackUsed: len(s.slackUsed)}
	for _, c := range s.credits {
		u.Credits++
		if c.used {
			u.CreditsUsed++
		}
	}
	return u
}

// service returns the credits and retries of a service that have not expired.
func (b *Budget) service(name string, now time.Time) *serviceRetries {
	s := b.services[name]
	if s == nil {
		s = &serviceRetries{}
		b.services[name] = s
	}
	s.expire(now, b.limits.Window)
	return s
}

// serviceRetries has the credits and retries of one service.
type serviceRetries struct {
	// requests is the number of requests since the process started.
	requests int
	// credits are in the order in which they were earned.
	credits []*credit
	// slackUsed are the times of the retries that used the slack, in order.
	slackUsed []time.Time
}

// credit allows one retry.
type credit struct {
	expires time.Time
	used    bool
}

// expire drops the credits that have expired and the retries that are older than a window.
// A request may be recorded some time after its arrival, so that an expired credit may
// follow one that has not expired.
func (s *serviceRetries) expire(now time.Time, window time.Duration) {
	for len(s.credits) > 0 && !now.Before(s.credits[0].expires) {
		s.credits = s.credits[1:]
	}
	for len(s.slackUsed) > 0 && now.Sub(s.slackUsed[0]) >= window {
		s.slackUsed = s.slackUsed[1:]
	}
}

// unusedCredit returns the first unused credit that has not expired, or nil.
func (s *serviceRetries) unusedCredit(now time.Time) *credit {
	for _, c := range s.credits {
		if !c.used && now.Before(c.expires) {
			return c
		}
	}
	return nil
}
