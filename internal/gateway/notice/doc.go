// Package notice keeps what upstreams say of themselves in their responses, and holds
// the host to it.
//
// A Notice is what one response says, as the platform decodes it. A Table has what is in
// force, by the run of the upstream that said it: another run under the same id, or at
// the same address, starts without any of it. Unlike an ejection, which is the host's own
// guess, a notice binds also when all upstreams of a service have one.
//
// Limits are kept over all hosts without a message that has to arrive: each host sends by
// a token bucket of its own, whose rate and size are its share of what the upstream takes
// (limit.go). Reports of what is in force travel with heartbeats, so that hosts learn of
// a limit before they have been told themselves, and of its end though they may send
// nothing there.
//
// Which requests come from where and how many tokens a host has is up to packages balance
// and fleet.
package notice
