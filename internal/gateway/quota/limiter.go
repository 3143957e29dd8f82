package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cairndock/internal/gateway/account"
)

const (
	// maxWait is the maximum time for which a request waits for tokens from other hosts.
	// It is three round trips between distant regions, and far shorter than client
	// timeouts. Of requests below the limit from clients of one region, 0.6 of 1,000 were
	// refused, and 4.8 with a maxWait of 200 ms (TestRequestsBelowTheLimitAreNotRefused).
	maxWait = 250 * time.Millisecond
	// minMaxWaiting is the minimum number of requests of an account that are allowed to
	// wait at the same time.
	minMaxWaiting = 4
	// maxIdleRate is the rate of requests per second below which an account is idle. The
	// rate is reached some seconds after the last request.
	maxIdleRate = 0.01

	// minPause and maxPause limit the pause between rounds of token requests when no
	// holder has tokens. The pause doubles up to maxDoublings times and is randomized by
	// half its length in both directions, so that hosts do not send requests
	// simultaneously.
	minPause     = 100 * time.Millisecond
	maxPause     = time.Second
	maxDoublings = 4

	// minRetryAfter and maxRetryAfter limit the delay after which the client of a refused
	// request should retry, before it is randomized.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Hosts is the interface to the hosts that share the limits.
type Hosts interface {
	// Assignment returns the current assignment of this host. The pointer stays the same
	// until the assignment changes.
	Assignment() *Assignment
	// RequestTokens requests tokens from a host.
	RequestTokens(ctx context.Context, host string, request TokenRequest) (TokenResponse, error)
}

// TokenRequest requests tokens of an account from another host. Each client request takes
// tokensPerRequest tokens. TokenRequest is sent as msgpack.
type TokenRequest struct {
	Account string `msgpack:"a"`
	Tokens  int    `msgpack:"n"`
}

// TokenResponse is the response to a TokenRequest. Tokens is the number of tokens that the
// holder has removed from its shards. TokenResponse is sent as msgpack.
type TokenResponse struct {
	Tokens int `msgpack:"n"`
}

// Counter counts events by metric name. *telemetry.Metrics implements it.
type Counter interface{ Add(metric string, n int) }

// Refusal describes why a request was refused.
type Refusal struct {
	// RetryAfter is the delay after which the client should retry.
	RetryAfter time.Duration
	// Shards is the number of the account's shards that this host holds, and TotalShards
	// the number of all its shards. Rate is the rate of all shards, in requests per second.
	Shards, TotalShards int
	Rate                float64
	// Requested and Received are the tokens that this host requested from other hosts and
	// received in the last round, in units of client requests.
	Requested, Received float64
}

// Options are the settings and dependencies of a Limiter. All are required.
type Options struct {
	// Host, Zone and Region are the names of this host, its zone and its region.
	Host, Zone, Region string
	Bound              Bound
	Hosts              Hosts
	Metrics            Counter
}

// Limiter enforces the limits of all accounts on this host. It is safe for concurrent use.
type Limiter struct {
	Options

	mu      sync.Mutex
	ledgers map[string]*ledger
}

// NewLimiter returns the limiter of a host that has just started. Its shards are empty.
func NewLimiter(o Options) *Limiter { return &Limiter{Options: o, ledgers: map[string]*ledger{}} }

// Admit reports whether a request of an account is within the account's limit, and takes the
// tokens of the request. It waits up to maxWait for tokens from other hosts if they may have
// some, and refuses immediately if they recently had none.
func (l *Limiter) Admit(ctx context.Context, a *account.Account) (Refusal, bool) {
	if !a.Limited() {
		return Refusal{}, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	led := l.ledger(a, now)
	led.demand.add(now)
	if led.coversWaiting(now) && led.take(now) {
		if led.runningLow(now) {
			l.startRound(led, now)
		}
		return Refusal{}, true
	}
	if led.waiting < led.maxWaiting() && l.wait(ctx, led) {
		return Refusal{}, true
	}
	return l.refuse(led, time.Now()), false
}

// wait waits for tokens from other hosts and reports whether it took the tokens of one
// request. l.mu must be held when wait is called, and is held when it returns.
func (l *Limiter) wait(ctx context.Context, led *ledger) bool {
	led.waiting++
	defer func() { led.waiting-- }()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		l.startRound(led, time.Now())
		if !led.requesting {
			return false
		}
		responded := led.nextResponse()
		l.mu.Unlock()
		aborted := false
		select {
		case <-responded:
		case <-timer.C:
			aborted = true
		case <-ctx.Done():
			aborted = true
		}
		l.mu.Lock()
		if aborted {
			return false
		}
		if led.take(time.Now()) {
			return true
		}
	}
}

// refuse returns the refusal of a request. By the end of the delay in RetryAfter, enough
// tokens are expected for all recently refused requests. The delay is randomized, so that
// clients retry at different times.
func (l *Limiter) refuse(led *ledger, now time.Time) Refusal {
	led.refused.add(now)
	delay := time.Duration(led.refused.perSecond(now) / max(led.budget.Rate, 1) * float64(time.Second))
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return Refusal{
		RetryAfter: delay/2 + rand.N(delay), Shards: led.shards, TotalShards: led.budget.Shards, Rate: led.budget.Rate, Requested: float64(led.requested) / tokensPerRequest, Received: float64(led.received) / tokensPerRequest,
	}
}

// ledger returns the ledger of an account, updated to the current configuration and
// assignment. l.mu must be held.
func (l *Limiter) ledger(a *account.Account, now time.Time) *ledger {
	led := l.ledgers[a.Name]
	if led == nil {
		led = &ledger{}
		l.ledgers[a.Name] = led
	}
	led.update(a, l.Hosts.Assignment(), l.Bound, l.Host, l.Zone, now)
	return led
}

// Grant removes up to a number of tokens from this host's shards for another host. The
// account is taken from this host's current configuration. A nil account has no tokens.
func (l *Limiter) Grant(a *account.Account, tokens int) TokenResponse {
	if a == nil || !a.Limited() {
		return TokenResponse{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	n := l.ledger(a, now).grantTokens(tokens, now)
	l.Metrics.Add("cairndock_quota_given_requests_total", n/tokensPerRequest)
	return TokenResponse{Tokens: n}
}

// Suspended corrects the expiry of tokens from other hosts after the machine was suspended
// for the duration gap.
func (l *Limiter) Suspended(gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, led := range l.ledgers {
		led.suspended(gap)
	}
}

// CleanUp drops the state of idle accounts whose shards are full.
func (l *Limiter) CleanUp(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, led := range l.ledgers {
		if led.idle(now) {
			delete(l.ledgers, name)
		}
	}
}
