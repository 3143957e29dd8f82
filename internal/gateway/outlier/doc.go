// Package outlier detects upstreams that fail, hang or are slow, from how
// requests end there, and ejects them for a time. Health checks are not used:
// they can be good while requests fail, and each takes a slot of the upstream.
//
// An upstream counts as ejected when either of two counts says so:
//
//   - The region's evidence (evidence.go) adds up what all hosts of the region
//     saw within a short window, as a host of a large fleet sends too little to
//     one upstream to judge it alone. It weighs failures and overdue responses
//     against successes, so it also finds upstreams that fail only in part,
//     hang or are slow. It is fed by RecordSuccess, RecordFailure and, with the
//     observations in other hosts' heartbeats, by Merge. Its ejections end by
//     time alone, whatever succeeds until then, and are reported to the log.
//   - This host's consecutive failures (consecutive.go) need no window and no
//     other host: an upstream that refuses connections is avoided from the
//     first failure on, long before there is evidence enough, and for half a
//     second only. It is fed by RecordOutcome at the end of every request, is
//     reset by the first success, and is neither shared nor logged.
//
// The latency baseline of each service (baseline.go) says from when a response
// is overdue.
//
// The package owns these counts. What an ejection means for the choice of an
// upstream is up to package balance; package proxy decides which outcome a
// request had, and package fleet carries observations between hosts.
package outlier
