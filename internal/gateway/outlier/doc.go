// Package outlier detects upstreams that fail, hang or are slow from the outcomes
// of requests, and ejects them for a limited time. Health checks are not used,
// because they can succeed while requests fail, and because each one takes a slot
// of the upstream.
//
// An upstream is ejected if either of two counts requires it:
//
//   - The region's evidence (evidence.go) sums up the observations of all hosts of
//     the region within a short window, because a host of a large fleet sends too
//     few requests to one upstream to judge it alone. Failures and overdue
//     responses are compared with successes, so upstreams that hang, are slow or
//     fail only some requests are detected too. The evidence is updated by
//     RecordSuccess, RecordFailure and, for the observations in heartbeats of
//     other hosts, by Merge. Its ejections end only by time, regardless of later
//     successes, and are reported to the log.
//   - This host's consecutive failures (consecutive.go) need neither a window nor
//     other hosts. An upstream that refuses connections is avoided from the first
//     failure on, long before there is enough evidence, and at first for only
//     half a second. The count is updated by RecordOutcome at the end of every
//     request, is reset by the first success, and is neither shared nor logged.
//
// The latency baseline of each service (baseline.go) determines when a response
// is overdue.
//
// The package owns these counts. Package balance decides how an ejection affects
// the choice of an upstream, package proxy decides which outcome a request had,
// and package fleet exchanges observations between hosts.
package outlier
