// Package slot assigns the requests of a service to upstreams of the host's own
// zone. An upstream has a number of slots. Holding a slot is the right to have one
// request outstanding at the upstream. A host uses only the slots that it holds
// according to package roster, so that an upstream never has more requests
// outstanding than slots, regardless of the other hosts.
//
// Pool is the state of one service, without locks or a clock: the slots held, the
// outstanding requests, the concurrency limit and ejection of each upstream, and
// the limits of the service's rules. Gate makes a pool safe for concurrent use and
// queues requests that wait for a slot. The decisions are in rule.go (the limits of
// a rule), limit.go (the number of usable slots of an upstream), eject.go (the
// duration of an ejection) and choose.go (whether an upstream is available, and
// which upstream of a rule is used).
//
// The package relies on the code that uses it for the specs and for releasing each
// lease exactly once. Package entry/rosters derives the specs from the
// configuration, the roster and the set of leaving upstreams. After each Acquire,
// package entry/admission checks with package entry/fence whether the host may use
// its slots at all.
package slot
