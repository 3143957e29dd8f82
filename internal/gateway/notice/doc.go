// Package notice keeps the state that upstreams announce in their responses, and applies
// it to the requests of this host.
//
// A Notice is the announcement in one response, as the platform package decodes it. A
// Table holds the announcements in force, by the run of the upstream that made them: a
// later run under the same id, or at the same address, starts without any. An ejection is
// the host's own estimate and is ignored when all upstreams of a service are ejected; a
// notice is binding even then.
//
// Limits are enforced over all hosts without depending on the delivery of any message:
// each host sends by a token bucket of its own, whose rate and size are its share of the
// upstream's limit (limit.go). Heartbeats carry reports of the notices in force. Hosts
// thereby learn of a limit before they receive it from the upstream, and of its end even
// if they may not send any request to the upstream.
//
// Package balance decides which requests go to which upstream, and package fleet how many
// tokens each host has.
package notice
