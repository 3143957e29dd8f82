package notice

import (
	"time"
)

const (
	// boundWindow, boundFactor and boundSlack define the number of requests that the
	// platform allows all hosts together to send to an upstream with a limit: at most
	// limit x boundFactor x boundWindow + boundSlack requests in any boundWindow.
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
	// usedFraction is the fraction of this bound that hosts use. The remainder covers the
	// moments in which hosts disagree on the set of hosts.
	usedFraction = 0.9
	// maxSendDelay is the maximum time from the choice of an upstream to the arrival of
	// the request there, such as for a new connection between regions or for processor
	// time. A window of arrivals therefore contains requests that were chosen in a window
	// longer by maxSendDelay.
	maxSendDelay = 500 * time.Millisecond
	// minRate is the rate, in requests per second over all hosts, at which hosts send to
	// an upstream with a lower limit. Without any requests, no host would learn that the
	// limit has ended.
	minRate = 0.25
)

// totalRate is the rate, in requests per second, at which all hosts together send to an
// upstream with a limit.
func totalRate(perSecond float64) float64 { return max(perSecond, minRate) }

// totalTokens is the size of the buckets of all hosts together: the part of the bound
// that the rate does not use. It is at least one, because a host whose bucket has no space
// for a token could never send.
func totalTokens(perSecond float64) int {
	bound := usedFraction * (perSecond*boundFactor*boundWindow.Seconds() + boundSlack)
	return max(1, int(bound-totalRate(perSecond)*(boundWindow+maxSendDelay).Seconds()))
}

// limit is the state of one run's limit at this host.
type limit struct {
	perSecond float64
	// ended is set once the upstream has no limit any more. The entry is kept for
	// endedLimitRetention, so that other hosts learn of the end.
	ended bool
	// reportedAt is when the upstream last reported the limit or its end, to this host or
	// to another one.
	reportedAt time.Time
	// lastRegistered is when the run was last seen registered.
	lastRegistered time.Time
	// announcedAt is when this host last started to announce the limit to other hosts:
	// when the limit changed, or was confirmed announceInterval or more after the last
	// start.
	announcedAt time.Time
	// share is this host's share, as of sharedAt.
	share    Share
	sharedAt time.Time
	// probedAt is when this host last sent a request without a token to find out whether
	// the limit is still in force.
	probedAt time.Time
	// level is the number of tokens, as of filledAt. A process starts with none, so that
	// this process and its predecessor together stay within the bound, whatever the
	// predecessor has sent.
	level    float64
	filledAt time.Time
}

// fill adds the tokens that accrued since the last call. share returns this host's share
// of a number of tokens.
func (l *limit) fill(now time.Time, share func(tokens int) Share) {
	if now.Sub(l.sharedAt) >= shareTTL {
		l.share, l.sharedAt = share(totalTokens(l.perSecond)), now
	}
	l.level += l.rate() * max(0, now.Sub(l.filledAt).Seconds())
	l.level = min(l.level, float64(l.share.Tokens))
	l.filledAt = now
}

// rate is this host's share of the total rate, in requests per second.
func (l *limit) rate() float64 {
	return totalRate(l.perSecond) * float64(l.share.Tokens) / float64(totalTokens(l.perSecond))
}

// end records that the limit has ended.
func (l *limit) end(reportedAt, now time.Time) {
	l.ended, l.reportedAt, l.announcedAt = true, reportedAt, now
}

// untilNext is the time until a token is available: zero if there is one, and negative if
// there will be none.
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

// set puts a value in force that the upstream reported at a given time. The tokens stay, as
// far as the new bucket has space for them.
func (l *limit) set(perSecond float64, reportedAt, now time.Time) {
	if perSecond != l.perSecond || l.ended {
		l.sharedAt = time.Time{}
		l.announcedAt = now
	}
	if now.Sub(l.announcedAt) >= announceInterval {
		l.announcedAt = now
	}
	l.perSecond, l.ended, l.reportedAt = perSecond, false, reportedAt
}
