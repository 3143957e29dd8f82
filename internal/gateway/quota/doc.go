// Package quota limits the requests of each client account, summed over all hosts,
// although no host knows the sum.
//
// The limit is a token bucket (Budget) that is divided into shards. Each shard is held by
// one host at a time (Layout). The holder follows from the names of the hosts, so the
// hosts agree on it without messages. The holder fills the shard's bucket at the shard's
// share of the rate, starting with an empty bucket, and removes tokens for each request
// that it admits. A host whose own shards are empty requests tokens from the holders of
// other shards, and must use these tokens within tokenTTL or discard them.
//
// The requests of any window therefore stay within the budget, whatever fails:
//
//   - A token is removed from a bucket before it is used, and at most tokenTTL before.
//   - A lost response loses its tokens.
//   - A process that terminates loses its buckets, and the next one starts with empty ones.
//   - A partitioned host continues with its own shards, and the others with theirs.
//
// The limit depends neither on liveness, nor on synchronized clocks, nor on the order of
// messages. It does depend on each shard having at most one holder (Assignment).
//
// Budget and Layout are pure functions, ledger is the state of one account on one host
// without a lock or a clock, and Limiter adds the lock, the clock and the token requests.
package quota
