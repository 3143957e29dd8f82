// Package quota keeps the requests of a client account under its limit, summed over all
// hosts, without a host that knows the sum.
//
// The limit is a token bucket (Budget) that is cut into shards. Each shard is held by one
// host at a time (Layout): which one follows from the hosts' names, so that hosts agree
// on it without messages. The holder fills the shard's bucket at the shard's part of the
// rate, starting empty, and takes tokens out for each request that it lets pass. A host
// whose own shards have none left asks the holders of others, and uses what they give
// within tokenLife, or not at all.
//
// So no window sees more than the budget, whatever happens: a token is taken out of a
// bucket before it is used, and at most tokenLife before; a lost answer loses tokens; a
// process that ends loses its buckets, and the next one starts with empty ones; a host
// that is cut off goes on with its own shards, and the others with theirs. Nothing rests
// on who is alive, on clocks that agree, or on an order of messages. It does rest on no
// shard having two holders, which Place is about.
//
// Budget and Layout are plain rules, ledger is one account's state on one host without
// lock or clock, and Limiter adds those and the asking.
package quota
