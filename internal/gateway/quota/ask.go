package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// tokenRequestTimeout limits one token request to a holder. It is shorter than
	// maxWait and longer than a round trip between distant regions.
	tokenRequestTimeout = 120 * time.Millisecond
	// maxNearHolders is the number of holders in the host's own region that a round
	// queries one after the other. maxFarHolders is the number of holders in other
	// regions that a round queries concurrently, because each of them takes a round
	// trip between regions.
	maxNearHolders = 4
	maxFarHolders  = 5
	// farRequestFactor is the multiple of the needed tokens that a round requests from
	// all holders of other regions together, because some of them have too few. With a
	// factor of 1 each round left a remainder for the next one, and requests waited for
	// several round trips: with all clients in one region 1.8 of 1,000 requests below
	// the limit were refused, most of them of accounts with 30 requests per second.
	// Surplus tokens are used by later requests or expire.
	farRequestFactor = 2
	// maxEmptyRounds is the number of consecutive rounds without any token, each with
	// other holders, after which the host pauses.
	maxEmptyRounds = 3
	// emptyHolderBackoff is the time for which a holder is not queried after it granted
	// fewer tokens than requested, and silentHolderBackoff the time after it did not
	// respond.
	emptyHolderBackoff  = 250 * time.Millisecond
	silentHolderBackoff = 500 * time.Millisecond
)

// round is one round of token requests for an account. Holders in the host's own region
// are queried first, because they respond fastest and are the most likely to hold tokens
// that the clients of this region do not use.
type round struct {
	limiter   *Limiter
	ledger    *ledger
	account   string
	near, far []Holder
}

// startRound starts a round of token requests to other hosts, unless a round is already
// running or paused. l.mu must be held.
func (l *Limiter) startRound(led *ledger, now time.Time) {
	if !led.mayRequest(now) {
		return
	}
	needed := led.tokensNeeded(now)
	if needed <= 0 {
		return
	}
	r := round{limiter: l, ledger: led, account: led.account.Name}
	r.near, r.far = l.selectHolders(led, now)
	if len(r.near)+len(r.far) == 0 {
		led.pausedUntil = now.Add(minPause)
		return
	}
	led.requesting, led.requested, led.received = true, needed, 0
	go r.run(needed)
}

// selectHolders returns the holders that may have tokens.
func (l *Limiter) selectHolders(led *ledger, now time.Time) (near, far []Holder) {
	if led.otherHolders == nil {
		led.otherHolders = led.assignment.Layout.otherHolders(led.account.Name, l.Host, l.Zone, l.Region, led.budget.Shards)
		led.skipUntil = map[string]time.Time{}
	}
	for _, h := range led.otherHolders {
		switch {
		case now.Before(led.skipUntil[h.Host]):
		case h.Region == l.Region && len(near) < maxNearHolders:
			near = append(near, h)
		case h.Region != l.Region && len(far) < maxFarHolders:
			far = append(far, h)
		}
	}
	return near, far
}

// run queries holders until the needed tokens have been received or no holder is left.
func (r round) run(needed int) {
	for _, h := range r.near {
		if needed <= 0 {
			break
		}
		needed -= r.request(h, needed)
	}
	if needed > 0 && len(r.far) > 0 {
		r.requestFar(needed)
	}
	r.end()
}

// requestFar queries the holders of other regions concurrently, each for an equal share of
// farRequestFactor times the needed tokens.
func (r round) requestFar(needed int) {
	share := (farRequestFactor*needed + len(r.far) - 1) / len(r.far)
	var wait sync.WaitGroup
	for _, h := range r.far {
		wait.Go(func() { r.request(h, share) })
	}
	wait.Wait()
}

// request requests tokens from one holder and returns the number of tokens received. The
// tokens of a late response are lost, because the holder has already removed them from its
// shards.
func (r round) request(h Holder, needed int) int {
	ctx, cancel := context.WithTimeout(context.Background(), tokenRequestTimeout)
	defer cancel()
	l := r.limiter
	requestedAt := time.Now()
	response, err := l.Hosts.RequestTokens(ctx, h.Host, TokenRequest{Account: r.account, Tokens: needed})
	received := max(0, min(response.Tokens, needed))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Metrics.Add("cairndock_quota_asks_total", 1)
	switch {
	case err != nil:
		// Not logged, because missing heartbeats already report a dead or partitioned holder.
		r.ledger.skip(h.Host, requestedAt.Add(silentHolderBackoff))
		return 0
	case received < needed:
		r.ledger.skip(h.Host, requestedAt.Add(emptyHolderBackoff))
	}
	r.ledger.receive(received, requestedAt)
	r.ledger.notify()
	return received
}

// skip excludes a holder from token requests until the given time.
func (l *ledger) skip(host string, until time.Time) {
	if l.skipUntil != nil {
		l.skipUntil[host] = until
	}
}

// end ends the round.
func (r round) end() {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ledger.requesting = false
	r.ledger.updatePause(time.Now())
	r.ledger.notify()
}

// updatePause pauses token requests after several consecutive rounds without a token. The
// pause grows with the number of these rounds. Without it, accounts above their limits
// would cost the hosts a token request for each of their requests.
func (l *ledger) updatePause(now time.Time) {
	if l.received > 0 {
		l.emptyRounds = 0
		return
	}
	l.emptyRounds++
	if n := l.emptyRounds - maxEmptyRounds; n >= 0 {
		pause := min(maxPause, minPause<<min(n, maxDoublings))
		l.pausedUntil = now.Add(pause/2 + rand.N(pause))
	}
}
