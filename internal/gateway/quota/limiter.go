package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cairndock/internal/gateway/account"
)

const (
	// maxWait is how long a request may wait for tokens of other hosts: three round trips
	// between distant regions, and far below the time that clients wait. Of requests
	// below the limit from clients of one region 0.6 of 1,000 were refused, and 4.8 with
	// 200 ms (TestRequestsBelowTheLimitAreNotRefused).
	maxWait = 250 * time.Millisecond
	// minWaiting is how many requests of an account may wait at the least.
	minWaiting = 4
	// idleRate is the rate of requests, in a second, below which an account counts as
	// idle: it has sent none for some seconds.
	idleRate = 0.01

	// leastPause and mostPause bound the time for which no holder is asked after none
	// had a token. It doubles up to maxDoublings times, and a half more or less is drawn
	// at random, so that hosts don't ask together.
	leastPause   = 100 * time.Millisecond
	mostPause    = time.Second
	maxDoublings = 4

	// leastRetry and mostRetry bound the time after which the client of a refused
	// request is told to return.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 3 * time.Second
)

// Hosts is this host's view of the hosts that share the limits.
type Hosts interface {
	// Place gives the newest place; the same pointer until it changes.
	Place() *Place
	// RequestTokens asks a host for tokens.
	RequestTokens(ctx context.Context, host string, ask Ask) (Answer, error)
}

// Ask asks a host for tokens of an account, perRequest for each request. It is on the
// wire.
type Ask struct {
	Account string `msgpack:"a"`
	Tokens  int    `msgpack:"n"`
}

// Answer is the tokens that the host has taken out of its shards. It is on the wire.
type Answer struct {
	Tokens int `msgpack:"n"`
}

// Counter counts events by metric name. *telemetry.Metrics implements it.
type Counter interface{ Add(metric string, n int) }

// Refusal says why a request may not pass.
type Refusal struct {
	// RetryAfter is when the client should return.
	RetryAfter time.Duration
	// Shards is how many of the account's shards this host holds, of how many, and Rate
	// what all shards have, in requests a second.
	Shards, Of int
	Rate       float64
	// Asked and Got are for how many requests other hosts were asked for tokens last, and
	// for how many they gave them.
	Asked, Got float64
}

// Options are the parts of a Limiter. All are required.
type Options struct {
	// Host, Zone and Region are this host's.
	Host, Zone, Region string
	Bound              Bound
	Hosts              Hosts
	Metrics            Counter
}

// Limiter holds this host's part of the limits of all accounts. It is safe for concurrent
// use.
type Limiter struct {
	Options

	mu      sync.Mutex
	ledgers map[string]*ledger
}

// NewLimiter makes the limiter of a host that has just started: its shards are empty.
func NewLimiter(o Options) *Limiter { return &Limiter{Options: o, ledgers: map[string]*ledger{}} }

// Admit reports whether a request of an account may pass, and takes its token. It waits
// up to maxWait for tokens of other hosts where they may have some, and refuses at once
// where they had none a moment ago.
func (l *Limiter) Admit(ctx context.Context, a *account.Account) (Refusal, bool) {
	if !a.Limited() {
		return Refusal{}, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	led := l.ledger(a, now)
	led.demand.add(now)
	if led.sparesOne(now) && led.take(now) {
		if led.runsLow(now) {
			l.ask(led, now)
		}
		return Refusal{}, true
	}
	if led.waiting < led.maxWaiting() && l.wait(ctx, led) {
		return Refusal{}, true
	}
	return l.refuse(led, time.Now()), false
}

// wait waits for a token of other hosts; l.mu is held when it is called and when it
// returns.
func (l *Limiter) wait(ctx context.Context, led *ledger) bool {
	led.waiting++
	defer func() { led.waiting-- }()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		l.ask(led, time.Now())
		if !led.asking {
			return false
		}
		news := led.listen()
		l.mu.Unlock()
		lapsed := false
		select {
		case <-news:
		case <-timer.C:
			lapsed = true
		case <-ctx.Done():
			lapsed = true
		}
		l.mu.Lock()
		if lapsed {
			return false
		}
		if led.take(time.Now()) {
			return true
		}
	}
}

// refuse gives when the client should return: by then as many tokens are expected as
// requests were refused lately, each at a moment of its own.
func (l *Limiter) refuse(led *ledger, now time.Time) Refusal {
	led.refused.add(now)
	after := time.Duration(led.refused.perSecond(now) / max(led.budget.Rate, 1) * float64(time.Second))
	after = min(max(after, leastRetry), mostRetry)
	return Refusal{
		RetryAfter: after/2 + rand.N(after), Shards: led.shards, Of: led.budget.Shards, Rate: led.budget.Rate, Asked: float64(led.asked) / perRequest, Got: float64(led.got) / perRequest,
	}
}

// ledger returns an account's ledger, fitted to what is in force; l.mu is held.
func (l *Limiter) ledger(a *account.Account, now time.Time) *ledger {
	led := l.ledgers[a.Name]
	if led == nil {
		led = &ledger{}
		l.ledgers[a.Name] = led
	}
	led.update(a, l.Hosts.Place(), l.Bound, l.Host, l.Zone, now)
	return led
}

// Give takes tokens for another host out of this host's shards. The account is that of the
// name in the configuration that is in force here; nil gives none.
func (l *Limiter) Give(a *account.Account, tokens int) Answer {
	if a == nil || !a.Limited() {
		return Answer{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	n := l.ledger(a, now).give(tokens, now)
	l.Metrics.Add("cairndock_quota_given_requests_total", n/perRequest)
	return Answer{Tokens: n}
}

// Suspended corrects what is believed by its age after the machine was suspended.
func (l *Limiter) Suspended(gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, led := range l.ledgers {
		led.suspended(gap)
	}
}

// CleanUp forgets accounts that send nothing, once their shards are full again.
func (l *Limiter) CleanUp(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, led := range l.ledgers {
		if led.idle(now) {
			delete(l.ledgers, name)
		}
	}
}
