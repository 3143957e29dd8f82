// Package warmup has the rule by which all hosts together keep the rate of a cold
// (warming-up) upstream, without a message between them: each may send its quota
// of it in any second.
//
// The package owns the quota (Quota) and the record of what one host sent to an
// upstream (Sends). It relies on package fleet for the hosts that share a rate and
// on package balance for the choice of upstreams, and has no lock and no clock.
package warmup
