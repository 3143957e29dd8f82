package quota

import "time"

const (
	// tokensPerRequest is the number of tokens that a request takes. A shard of a small
	// account accumulates less than one request in its first second, and a host can
	// combine the tokens of several shards into one request.
	tokensPerRequest = 1000
	// tokenTTL is the time for which a host may use tokens that another host granted,
	// counted from the host's token request. With a longer TTL a host sends fewer token
	// requests, but more of the bound is withheld (Budget). The value is six round trips
	// between distant regions, so that one round trip is a small fraction of the TTL.
	tokenTTL = 450 * time.Millisecond
	// usedFraction is the fraction of the bound that is granted. The remainder allows for
	// clocks that run at different rates, and for the moment in which a holder still has
	// an outdated list of hosts.
	usedFraction = 0.97
	// overshootRateFraction is the fraction of the overshoot by which the rate of a budget
	// exceeds the rate of the account. Tokens at hosts without requests are temporarily
	// unavailable to the other hosts, and must not affect an account at its limit.
	overshootRateFraction = 0.3
	// maxRateFraction is the maximum fraction of the bound that the rate uses over a
	// window. The remainder is burst, without which no bucket would ever hold a whole
	// token.
	maxRateFraction = 0.9
	// minShardBurst is the minimum burst of a shard, in requests, if there are several
	// shards. With a smaller burst, simultaneous requests find an empty bucket although
	// their steady rate is within the limit.
	minShardBurst = 3
	// shardsPerZone is the number of shards per zone for an account whose burst is large
	// enough. Of five shards, four are held by large hosts and one by a small one.
	shardsPerZone = 5
)

// Bound limits the requests of an account that all hosts together may admit in any Window
// to (rate x Window + burst) x (1 + Overshoot) + Slack.
type Bound struct {
	Window time.Duration
	// Overshoot is a fraction of the limit.
	Overshoot float64
	// Slack is a number of requests.
	Slack float64
}

// Budget is the token bucket of one account over all hosts. Rate is in requests per second,
// Burst in requests.
type Budget struct {
	Rate, Burst float64
	// Shards is the number of equal shards of the bucket, over all zones.
	Shards int
}

// Budget returns the budget of an account with a rate in requests per second and a burst in
// requests, in a deployment with a number of zones.
//
// A bucket releases at most rate x window + burst tokens in any window. A token may be used
// up to tokenTTL after its removal, so the requests of a window may use the tokens that were
// removed in a period longer by tokenTTL.
func (b Bound) Budget(rate, burst float64, zones int) Budget {
	window := (b.Window + tokenTTL).Seconds()
	total := usedFraction * ((rate*b.Window.Seconds()+burst)*(1+b.Overshoot) + b.Slack)
	out := Budget{Rate: min(rate*(1+overshootRateFraction*b.Overshoot), maxRateFraction*total/window)}
	// The first request of an idle account is admitted, however low the account's limit.
	out.Burst = max(1, total-out.Rate*window)
	out.Shards = max(1, min(int(out.Burst/minShardBurst), shardsPerZone*zones))
	return out
}

// shards returns the rate and burst of n shards of the budget, in tokens per second and in
// tokens.
func (b Budget) shards(n int) (perSecond float64, burst int) {
	scale := tokensPerRequest * float64(n) / float64(b.Shards)
	return b.Rate * scale, int(b.Burst * scale)
}
