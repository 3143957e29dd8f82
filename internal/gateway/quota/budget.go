package quota

import "time"

const (
	// perRequest is how many tokens a request takes. A shard of a small account has less
	// than a request in its first second, and a host makes one of what several have.
	perRequest = 1000
	// tokenLife is how long a host may use tokens that another gave it, counted from
	// when it asked. Longer, a host asks less often, and more of the bound is withheld
	// (Budget): six round trips between distant regions, so that one is a small part of
	// it.
	tokenLife = 450 * time.Millisecond
	// usedPart is the part of the bound that is given out. The rest is for clocks of
	// hosts that run unlike, and for the moment in which a holder still knows an older
	// list of hosts.
	usedPart = 0.97
	// rateGain is the part of the overshoot by which the rate of a budget is above the
	// account's: tokens that lie at hosts without requests are lost to the others for
	// a moment, and an account at its limit must not feel that.
	rateGain = 0.3
	// mostByRate is the most of the bound that the rate takes over a window; the rest
	// is burst, without which no bucket ever holds a whole token.
	mostByRate = 0.9
	// shardBurst is the burst of a shard, in requests, at the least where there are several:
	// below it, requests that come together find an empty bucket at a steady rate
	// within the limit.
	shardBurst = 3
	// shardsPerZone is how many shards a zone has of an account whose burst suffices for
	// so many. Of five, four are held by large hosts and one by a small one.
	shardsPerZone = 5
)

// Bound is what all hosts together may let pass of an account in any Window: (rate x
// Window + burst) x (1 + Overshoot) + Slack requests.
type Bound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Budget is the token bucket of one account over all hosts, in requests a second and in
// requests.
type Budget struct {
	Rate, Burst float64
	// Shards is the number of equal parts that it is cut into, over all zones.
	Shards int
}

// Budget gives the budget of an account with a rate and a burst in a deployment of a
// number of zones.
//
// A bucket lets pass rate x window + burst in any window. A token may be used tokenLife
// after it was taken out, so that a window sees what is taken out in as much more.
func (b Bound) Budget(rate, burst float64, zones int) Budget {
	window := (b.Window + tokenLife).Seconds()
	most := usedPart * ((rate*b.Window.Seconds()+burst)*(1+b.Overshoot) + b.Slack)
	out := Budget{Rate: min(rate*(1+rateGain*b.Overshoot), mostByRate*most/window)}
	// The first request of an account that has sent none passes, however low its limit.
	out.Burst = max(1, most-out.Rate*window)
	out.Shards = max(1, min(int(out.Burst/shardBurst), shardsPerZone*zones))
	return out
}

// shards gives what a number of shards of the budget have, in tokens a second and in tokens.
func (b Budget) shards(n int) (perSecond float64, burst int) {
	part := perRequest * float64(n) / float64(b.Shards)
	return b.Rate * part, int(b.Burst * part)
}
