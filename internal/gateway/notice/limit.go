package notice

import (
	"time"
)

const (
	// boundSpan, boundFactor and boundSlack are what the platform allows an upstream with
	// a limit to get from all hosts: limit x boundFactor x boundSpan + boundSlack requests
	// in any boundSpan.
	boundSpan   = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
	// usedPart is the part of that bound which hosts use. The rest is for the moment in
	// which hosts still know another set of hosts.
	usedPart = 0.9
	// sendWithin is how long after its choice a request may arrive, so that a span sees
	// what was chosen in as much more: a new connection between regions, and waiting for
	// processor time.
	sendWithin = 500 * time.Millisecond
	// leastRate is the rate, in requests a second over all hosts, at which an upstream is
	// asked whose limit is lower. With none at all no host would hear that it ended.
	leastRate = 0.25
)

// rateOf is the rate at which all hosts together send to an upstream with a limit.
func rateOf(perSecond float64) float64 { return max(perSecond, leastRate) }

// tokensOf is the size of all hosts' buckets together: what the bound leaves beside the
// rate. Each host that has a share has at least one, without which it could never send.
func tokensOf(perSecond float64) int {
	bound := usedPart * (perSecond*boundFactor*boundSpan.Seconds() + boundSlack)
	return max(1, int(bound-rateOf(perSecond)*(boundSpan+sendWithin).Seconds()))
}

// limit is the limit of one run of an upstream at this host.
type limit struct {
	perSecond float64
	// ended is set once the upstream has none any more. It is kept for a while, so that
	// other hosts hear of it.
	ended bool
	// heard is when it was said last, here or at another host.
	heard time.Time
	// registered is when its run was last registered.
	registered time.Time
	// news is since when other hosts are told: since it changed, or was confirmed for the
	// first time in a while.
	news time.Time
	// share is this host's, as of sharedAt.
	share    Share
	sharedAt time.Time
	// asked is when a request was sent last because nobody had confirmed the limit.
	asked time.Time
	// level is how many tokens there are, as of filledAt. A process starts with none: it
	// and the one before it together keep the bound, whatever that one has sent.
	level    float64
	filledAt time.Time
}

// fill adds the tokens that have come since the last time. share gives this host's share
// of a number of tokens.
func (l *limit) fill(now time.Time, share func(tokens int) Share) {
	if now.Sub(l.sharedAt) >= shareHolds {
		l.share, l.sharedAt = share(tokensOf(l.perSecond)), now
	}
	l.level += l.rate() * max(0, now.Sub(l.filledAt).Seconds())
	l.level = min(l.level, float64(l.share.Tokens))
	l.filledAt = now
}

// rate is this host's part of the rate, in requests a second.
func (l *limit) rate() float64 {
	return rateOf(l.perSecond) * float64(l.share.Tokens) / float64(tokensOf(l.perSecond))
}

// end notes that the limit has ended.
func (l *limit) end(heard, now time.Time) { l.ended, l.heard, l.news = true, heard, now }

// untilNext is how long it takes until there is a token; zero if there is one, and
// negative if none will come.
func (l *limit) untilNext() time.Duration {
	switch {
	case l.level >= 1:
		return 0
	case l.share.Tokens == 0:
		return -1
	default:
		return max(time.Millisecond, time.Duration((1-l.level)/l.rate()*float64(time.Second)))
	}
}

// set puts a value in force that was heard at a time. The tokens stay, as far as they fit.
func (l *limit) set(perSecond float64, heard, now time.Time) {
	if perSecond != l.perSecond || l.ended {
		l.sharedAt = time.Time{}
		l.news = now
	}
	if now.Sub(l.news) >= newsEvery {
		l.news = now
	}
	l.perSecond, l.ended, l.heard = perSecond, false, heard
}
