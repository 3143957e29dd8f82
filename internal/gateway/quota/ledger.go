package quota

import (
	"time"

	"golang.org/x/time/rate"

	"cairndock/internal/gateway/account"
)

const (
	// lookahead is the period for which a host requests tokens in advance, based on the
	// rate of incoming requests. It is shorter than tokenTTL, so that most tokens are used
	// before they expire. Of requests below the limit from clients of one region, 5.6 of
	// 1,000 were refused with three quarters of tokenTTL and 11.3 with half of it
	// (TestRequestsBelowTheLimitAreNotRefused, with a tokenTTL of 600 ms).
	lookahead = tokenTTL * 3 / 4
	// refillThreshold is the remaining supply, as a period at the current rate, below which
	// a host requests more tokens, so that requests need not wait. It is two round trips
	// between distant regions.
	refillThreshold = tokenTTL / 3
)

// ledger is the state of one account's limit on one host. It has no lock and no clock.
type ledger struct {
	// account and assignment are the inputs of budget, shards and bucket.
	account    *account.Account
	assignment *Assignment
	budget     Budget
	// shards is the number of shards that this host holds. bucket is their common bucket,
	// and nil if there are none.
	shards int
	bucket *rate.Limiter
	// grants are the unused tokens from other hosts.
	grants []grant
	// demand is the rate of the account's requests at this host, and refused the rate of
	// the refused requests.
	demand, refused meter
	// otherHolders are the holders of the other shards. It is nil until the first round.
	otherHolders []Holder
	// skipUntil is the time until when a holder is not queried, because it had too few
	// tokens or did not respond.
	skipUntil map[string]time.Time

	// requesting is set during a round of token requests. pausedUntil is the time until
	// when no round starts, because no holder had tokens. waiting is the number of
	// requests that wait for a response, and responded is closed at the next response.
	requesting  bool
	pausedUntil time.Time
	waiting     int
	responded   chan struct{}
	// requested and received are the numbers of tokens of the last round, and emptyRounds
	// is the number of consecutive rounds without a token.
	requested, received, emptyRounds int
}

// grant is a number of tokens that another host granted.
type grant struct {
	tokens    int
	expiresAt time.Time
}

// update applies the account's current limit and this host's current shards to the ledger.
func (l *ledger) update(a *account.Account, as *Assignment, b Bound, host, zone string, now time.Time) {
	// A new configuration has new accounts, mostly with unchanged limits, and computing the
	// layout of an account takes 0.2 ms with 80 zones of 74 hosts.
	same := l.assignment == as && l.account != nil && l.account.Rate == a.Rate && l.account.Burst == a.Burst
	l.account, l.assignment = a, as
	if same {
		return
	}
	l.budget = b.Budget(a.Rate, a.Burst, len(as.Layout.Zones))
	l.otherHolders, l.skipUntil = nil, nil
	l.shards = 0
	if as.HoldsShards {
		l.shards = as.Layout.held(a.Name, host, zone, l.budget.Shards)
	}
	l.resize(now)
}

// resize adjusts the bucket to the number of shards. A bucket that grows gains no tokens, and
// a bucket that shrinks keeps at most its new size. A new bucket is as full as an empty bucket
// would be that was created when this host began to hold the shards.
func (l *ledger) resize(now time.Time) {
	if l.shards == 0 {
		l.bucket = nil
		return
	}
	perSecond, burst := l.budget.shards(l.shards)
	if l.bucket != nil {
		l.bucket.SetLimitAt(now, rate.Limit(perSecond))
		l.bucket.SetBurstAt(now, burst)
		return
	}
	l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
	l.bucket.AllowN(l.assignment.HeldSince, burst) // a new rate.Limiter is full
}

// take takes the tokens of one request. Tokens from other hosts are taken first, because they
// expire, and the remainder comes from this host's own bucket.
func (l *ledger) take(now time.Time) bool {
	l.dropExpired(now)
	missing := tokensPerRequest
	for _, g := range l.grants {
		missing -= g.tokens
	}
	if missing > 0 && (l.bucket == nil || !l.bucket.AllowN(now, missing)) {
		return false
	}
	l.spendGrants(min(tokensPerRequest, tokensPerRequest-missing))
	return true
}

// spendGrants takes n tokens from other hosts, in order of their expiry.
func (l *ledger) spendGrants(n int) {
	for n > 0 {
		g := &l.grants[0]
		spent := min(n, g.tokens)
		g.tokens -= spent
		n -= spent
		if g.tokens == 0 {
			l.grants = l.grants[1:]
		}
	}
}

// coversWaiting reports whether the tokens suffice for one more request in addition to the
// waiting requests, which arrived earlier.
func (l *ledger) coversWaiting(now time.Time) bool {
	return l.waiting == 0 || l.available(now) >= tokensPerRequest*(l.waiting+1)
}

func (l *ledger) dropExpired(now time.Time) {
	for len(l.grants) > 0 && !now.Before(l.grants[0].expiresAt) {
		l.grants = l.grants[1:]
	}
}

// grantTokens removes up to a number of tokens from this host's own bucket for another host.
// Other hosts and local requests are served in the order of their arrival.
func (l *ledger) grantTokens(needed int, now time.Time) int {
	if l.bucket == nil {
		return 0
	}
	n := max(0, min(needed, int(l.bucket.TokensAt(now))))
	if n == 0 || !l.bucket.AllowN(now, n) {
		return 0
	}
	return n
}

// receive adds the tokens that another host granted in response to a request at requestedAt.
func (l *ledger) receive(tokens int, requestedAt time.Time) {
	if tokens > 0 {
		l.grants = append(l.grants, grant{tokens: tokens, expiresAt: requestedAt.Add(tokenTTL)})
		l.received += tokens
	}
}

// suspended makes the tokens from other hosts expire earlier by the duration for which the
// machine was suspended.
func (l *ledger) suspended(gap time.Duration) {
	for i := range l.grants {
		l.grants[i].expiresAt = l.grants[i].expiresAt.Add(-gap)
	}
}

// available returns the number of whole tokens that this host has now.
func (l *ledger) available(now time.Time) int {
	n := 0
	for _, g := range l.grants {
		if now.Before(g.expiresAt) {
			n += g.tokens
		}
	}
	if l.bucket != nil {
		n += int(l.bucket.TokensAt(now))
	}
	return n
}

// tokensNeeded returns the number of tokens to request from other hosts. The number for the
// waiting requests is not rounded, because a request that is one token short is refused even
// if other hosts grant all requested tokens.
func (l *ledger) tokensNeeded(now time.Time) int {
	own := 0.0
	if l.bucket != nil {
		own = float64(l.bucket.Limit()) * lookahead.Seconds()
	}
	available := l.available(now)
	ahead := tokensPerRequest*l.demand.perSecond(now)*lookahead.Seconds() - float64(available) - own
	maxAhead := tokensPerRequest * max(1, l.budget.Rate*lookahead.Seconds())
	return max(tokensPerRequest*l.waiting-available, int(min(maxAhead, ahead)))
}

// runningLow reports whether this host should request more tokens before it has none left. At
// a low rate of requests, tokens are requested only when a request arrives.
func (l *ledger) runningLow(now time.Time) bool {
	expected := l.demand.perSecond(now) * refillThreshold.Seconds()
	return expected >= 1 && float64(l.available(now)) < tokensPerRequest*expected
}

// mayRequest reports whether a round of token requests may start now.
func (l *ledger) mayRequest(now time.Time) bool { return !l.requesting && !now.Before(l.pausedUntil) }

// maxWaiting returns the maximum number of requests that may wait for a response. It is the
// number of requests that the account may send within maxWait, so that an account far above
// its limit does not fill the host with waiting requests.
func (l *ledger) maxWaiting() int {
	return max(minMaxWaiting, int(l.budget.Rate*maxWait.Seconds()))
}

// notify wakes the requests that wait for a response.
func (l *ledger) notify() {
	if l.responded != nil {
		close(l.responded)
		l.responded = nil
	}
}

// nextResponse returns a channel that is closed at the next response or at the end of the
// round.
func (l *ledger) nextResponse() <-chan struct{} {
	if l.responded == nil {
		l.responded = make(chan struct{})
	}
	return l.responded
}

// idle reports whether the ledger can be replaced by a new one without loss: the bucket is
// full, there are no tokens from other hosts, and no request waits.
func (l *ledger) idle(now time.Time) bool {
	l.dropExpired(now)
	full := l.bucket == nil || l.bucket.TokensAt(now) >= float64(l.bucket.Burst())
	return full && len(l.grants) == 0 && !l.requesting && l.waiting == 0 && l.demand.perSecond(now) < maxIdleRate
}
