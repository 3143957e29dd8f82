package dispatch

import (
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/admission"
	"cairndock/internal/verdict"
)

// The functions in this file decide about the tries of a request. Each depends
// only on its arguments.

const (
	// maxTries limits how often one request is sent to an upstream.
	maxTries = 4
	// maxOffers limits how often one request is offered to a zone. Offers to
	// full zones are included.
	maxOffers = 8
	// queueTimeDivisor limits the time that a request may wait for a slot: the
	// time left until the deadline, divided by queueTimeDivisor.
	queueTimeDivisor = 4
	// maxQueues limits the full zones of a rule whose queues a request may try.
	// When the queue of the first zone is also full, the queue of the next zone
	// may have free capacity.
	maxQueues = 2
	// hedgeLatencyFactor multiplies the usual latency of the upstreams: a
	// lookup that takes longer is hedged with a second one.
	hedgeLatencyFactor = 4
	// minHedgeDelay is the minimum time before a second lookup is sent.
	minHedgeDelay = 10 * time.Millisecond
)

// mayTry reports whether a request may be offered to one more zone. The count
// sends includes only offers that may have reached an upstream, offers includes
// all. budgetSpent is set when the service's retry budget is used up.
func mayTry(sends, offers int, budgetSpent bool) bool {
	return sends < maxTries && offers < maxOffers && !budgetSpent
}

// mayRetry reports whether a request may be sent again after a try with the
// given verdict. A request that provably did not run may always be sent again.
// Any other request needs a service that allows its method to be repeated, and
// must have no ticket: a request with a ticket runs at most once
// (docs/design/request.md).
func mayRetry(v verdict.Verdict, repeatable, ticketed bool) bool {
	return v == verdict.NotRun || repeatable && !ticketed
}

// isUnsent reports whether a committed try reached no upstream: there was no
// connection to the upstream or to the peer, or the peer was stopping.
func isUnsent(v verdict.Verdict, r verdict.Reason) bool {
	switch r {
	case verdict.UpstreamFailed, verdict.PeerFailed, verdict.PeerStopping:
		return v == verdict.NotRun
	default:
		return false
	}
}

// slowsRamp reports whether a failed try slows the ramp of its rule: if the zone
// was full or the upstream shed the request (docs/design/shares.md).
func slowsRamp(reason verdict.Reason) bool {
	return reason == verdict.UpstreamShed || reason == verdict.Full
}

// queueDeadline returns the time until which a request with the given deadline
// may wait for a slot.
func queueDeadline(now, deadline time.Time) time.Time {
	return now.Add(deadline.Sub(now) / queueTimeDivisor)
}

// mayQueueElsewhere reports whether a request that was refused by the queue of
// one zone may try another zone: if its rule reached the cap in the meantime, the
// queue was also full, or the host of that zone is stopping.
func mayQueueElsewhere(reason verdict.Reason) bool {
	switch reason {
	case verdict.Capped, verdict.Full, verdict.PeerStopping:
		return true
	default:
		return false
	}
}

// mayHedge reports whether a second try may run concurrently with the first.
// Only lookups are hedged, because both tries may run at upstreams.
func mayHedge(class config.Class, repeatable, ticketed bool) bool {
	return class == config.Interactive && repeatable && !ticketed
}

// hedgeDelay returns the delay before the second try is sent, from the usual
// latency of the service's upstreams in this zone.
func hedgeDelay(latency time.Duration) time.Duration {
	return max(minHedgeDelay, hedgeLatencyFactor*latency)
}

// finalVerdict returns the verdict over all tries. The argument last is the error
// of the last try, or nil when there was no try. inDoubt is set when any try may
// have run, and capped when a rule was at its cap.
func finalVerdict(last *verdict.Error, inDoubt, capped bool) *verdict.Error {
	switch {
	case last == nil && capped:
		last = verdict.New(verdict.NotRun, verdict.Capped, "every rule is at its cap")
	case last == nil:
		last = verdict.New(verdict.NotRun, verdict.NoUpstream, "no zone has an upstream that can be reached")
	}
	out := *last
	if inDoubt && out.Verdict == verdict.NotRun {
		out.Verdict = verdict.MayHaveRun
	}
	if out.RetryAfter == 0 && out.Verdict == verdict.NotRun && out.Reason != verdict.Stopping {
		out.RetryAfter = admission.RetryAfter
	}
	return &out
}
