// Package poison detects requests that terminate the upstreams that run them (poison
// requests), and decides when they are refused (quarantined).
//
// When an upstream's process terminates, all requests that it is running fail: the poison
// request and any number of innocent ones. Each of them is therefore only suspected. A
// Table collects, by the request's Fingerprint, the terminations of upstreams that all
// hosts saw while the upstreams ran the request. A request is quarantined once it has
// terminated quarantineThreshold upstreams one after the other (suspect.go), unless
// another request explains these terminations better (decide.go). A response clears a
// request, because a poison request never gets one.
//
// The package owns the suspicions and the decision. It is plain state with a lock. Its
// callers determine which failures are terminations, and carry reports between hosts
// (Since, Merge). Terminations are only ever added and cleared, so that hosts may merge
// reports in any order and more than once.
//
// The design follows the delivery limit of quorum queues, which count the deliveries of
// each message across consumers (docs/design/poison.md). Here, terminations are counted
// instead of deliveries, and each host counts them itself, without a leader.
package poison
