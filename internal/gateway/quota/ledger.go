package quota

import (
	"time"

	"golang.org/x/time/rate"

	"cairndock/internal/gateway/account"
)

const (
	// lookahead is for how long ahead a host asks for tokens, by the rate at which
	// requests come: less than tokenLife, so that most are used before they lapse. Of
	// requests below the limit from clients of one region 5.6 of 1,000 were refused with
	// three quarters of it, and 11.3 with half (TestRequestsBelowTheLimitAreNotRefused,
	// with a tokenLife of 600 ms).
	lookahead = tokenLife * 3 / 4
	// refillBelow is how far ahead a host's tokens suffice when it asks for more before
	// it is out of them, so that requests needn't wait: a round trip between distant
	// regions, twice. Measured with lookahead.
	refillBelow = tokenLife / 3
)

// ledger is what a host knows of the limit of one account. It has no lock and no clock.
type ledger struct {
	// account and place are those that budget, shards and bucket were made for.
	account *account.Account
	place   *Place
	budget  Budget
	// shards is how many shards this host holds, and bucket theirs; nil if there are none.
	shards int
	bucket *rate.Limiter
	// given are tokens of other hosts that were not used yet.
	given []given
	// demand is the rate of the account's requests at this host, and refused that of the
	// refused ones.
	demand, refused meter
	// others are the holders of the other shards; nil until they are asked.
	others []Holder
	// emptyUntil is until when a holder is not asked, as it had nothing.
	emptyUntil map[string]time.Time

	// asking is set while holders are asked, and pausedUntil is until when none is, as
	// none had anything. waiting is how many requests wait for an answer, and news is
	// closed when one has come.
	asking      bool
	pausedUntil time.Time
	waiting     int
	news        chan struct{}
	// asked and got are the tokens of the last round of asking, and fruitless is how many
	// rounds in a row got none.
	asked, got, fruitless int
}

// given are tokens that another host gave.
type given struct {
	tokens int
	until  time.Time
}

// update fits the ledger to the account's figures and to this host's place.
func (l *ledger) update(a *account.Account, p *Place, b Bound, host, zone string, now time.Time) {
	// A new configuration has new accounts, mostly with the figures of the old ones, and
	// to lay out an account anew takes 0.2 ms with 80 zones of 74 hosts.
	same := l.place == p && l.account != nil && l.account.Rate == a.Rate && l.account.Burst == a.Burst
	l.account, l.place = a, p
	if same {
		return
	}
	l.budget = b.Budget(a.Rate, a.Burst, len(p.Layout.Zones))
	l.others, l.emptyUntil = nil, nil
	l.shards = 0
	if p.Holds {
		l.shards = p.Layout.held(a.Name, host, zone, l.budget.Shards)
	}
	l.resize(now)
}

// resize fits the bucket to the shards. A bucket that grows gets no token by it, and one
// that shrinks keeps no more than it holds now. One that is made is as full as if it had
// been there, empty, since this host holds the shards.
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
	l.bucket.AllowN(l.place.Since, burst) // it is made full
}

// take takes the tokens of a request: those of other hosts first, as they lapse, and what
// lacks of the own ones.
func (l *ledger) take(now time.Time) bool {
	l.dropLapsed(now)
	lack := perRequest
	for _, g := range l.given {
		lack -= g.tokens
	}
	if lack > 0 && (l.bucket == nil || !l.bucket.AllowN(now, lack)) {
		return false
	}
	l.spendGiven(min(perRequest, perRequest-lack))
	return true
}

// spendGiven takes tokens of other hosts, of those that lapse first.
func (l *ledger) spendGiven(n int) {
	for n > 0 {
		g := &l.given[0]
		spent := min(n, g.tokens)
		g.tokens -= spent
		n -= spent
		if g.tokens == 0 {
			l.given = l.given[1:]
		}
	}
}

// sparesOne reports whether there are tokens for another request beside those that wait,
// which came before it.
func (l *ledger) sparesOne(now time.Time) bool {
	return l.waiting == 0 || l.available(now) >= perRequest*(l.waiting+1)
}

func (l *ledger) dropLapsed(now time.Time) {
	for len(l.given) > 0 && !now.Before(l.given[0].until) {
		l.given = l.given[1:]
	}
}

// give takes up to a number of tokens out of the own shards for another host. Whoever asks
// first gets them, as a request here would.
func (l *ledger) give(want int, now time.Time) int {
	if l.bucket == nil {
		return 0
	}
	n := max(0, min(want, int(l.bucket.TokensAt(now))))
	if n == 0 || !l.bucket.AllowN(now, n) {
		return 0
	}
	return n
}

// receive adds tokens of another host, which was asked at a time.
func (l *ledger) receive(tokens int, asked time.Time) {
	if tokens > 0 {
		l.given = append(l.given, given{tokens: tokens, until: asked.Add(tokenLife)})
		l.got += tokens
	}
}

// suspended has the tokens of others lapse earlier by the time for which the machine was
// suspended.
func (l *ledger) suspended(gap time.Duration) {
	for i := range l.given {
		l.given[i].until = l.given[i].until.Add(-gap)
	}
}

// available is how many whole tokens are here now.
func (l *ledger) available(now time.Time) int {
	n := 0
	for _, g := range l.given {
		if now.Before(g.until) {
			n += g.tokens
		}
	}
	if l.bucket != nil {
		n += int(l.bucket.TokensAt(now))
	}
	return n
}

// want is how many tokens to ask others for. For those that wait it is exact: one token
// too few, by rounding, and a request is refused that got all that it asked for.
func (l *ledger) want(now time.Time) int {
	own := 0.0
	if l.bucket != nil {
		own = float64(l.bucket.Limit()) * lookahead.Seconds()
	}
	here := l.available(now)
	ahead := perRequest*l.demand.perSecond(now)*lookahead.Seconds() - float64(here) - own
	most := perRequest * max(1, l.budget.Rate*lookahead.Seconds())
	return max(perRequest*l.waiting-here, int(min(most, ahead)))
}

// runsLow reports whether more tokens are to be asked for before the host is out of them.
// Where a request comes now and then, one is asked for when it comes.
func (l *ledger) runsLow(now time.Time) bool {
	soon := l.demand.perSecond(now) * refillBelow.Seconds()
	return soon >= 1 && float64(l.available(now)) < perRequest*soon
}

// mayAsk reports whether holders may be asked now.
func (l *ledger) mayAsk(now time.Time) bool { return !l.asking && !now.Before(l.pausedUntil) }

// maxWaiting is how many requests may wait for an answer: as many as the account may send
// meanwhile, so that an account far above its limit doesn't fill the host with waiting
// requests.
func (l *ledger) maxWaiting() int {
	return max(minWaiting, int(l.budget.Rate*maxWait.Seconds()))
}

// tell wakes the requests that wait for an answer.
func (l *ledger) tell() {
	if l.news != nil {
		close(l.news)
		l.news = nil
	}
}

// listen returns a channel that is closed at the next answer.
func (l *ledger) listen() <-chan struct{} {
	if l.news == nil {
		l.news = make(chan struct{})
	}
	return l.news
}

// idle reports whether the ledger has nothing that a new one would not have: its bucket
// is full, and nobody waits.
func (l *ledger) idle(now time.Time) bool {
	l.dropLapsed(now)
	full := l.bucket == nil || l.bucket.TokensAt(now) >= float64(l.bucket.Burst())
	return full && len(l.given) == 0 && !l.asking && l.waiting == 0 && l.demand.perSecond(now) < idleRate
}
