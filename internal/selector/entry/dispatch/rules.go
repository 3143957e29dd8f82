package dispatch

import (
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/admission"
	"cairndock/internal/verdict"
)

// The decisions on a request's tries, each a function of what is known then.

const (
	// maxTries bounds how often one request is sent to an upstream.
	maxTries = 4
	// maxOffers bounds how often one request is offered to a zone, full ones
	// included.
	maxOffers = 8
	// queuePart is the part of the time left that a request may spend
	// waiting for a slot: one in queuePart.
	queuePart = 4
	// maxQueues bounds the full zones of a rule at which a request asks to
	// wait: where the first one's queue is full as well, another's may have
	// room.
	maxQueues = 2
	// hedgeAfter is how many usual latencies a lookup may take before a
	// second one is sent.
	hedgeAfter = 4
	// hedgeLeast is the least time before a second lookup is sent.
	hedgeLeast = 10 * time.Millisecond
)

// mayTry says whether a request may be offered to one more zone. Sends counts
// those from which an upstream may have got something, offers all, and spent is set when
// the service's budget of retries is used up.
func mayTry(sends, offers int, spent bool) bool {
	return sends < maxTries && offers < maxOffers && !spent
}

// mayRetry says whether a request may be sent again after a try that ended
// with a verdict: always when it provably did not run, else when the service
// lets its method be repeated. A ticket's request runs at most once
// (docs/design/request.md).
func mayRetry(v verdict.Verdict, repeatable, ticketed bool) bool {
	return v == verdict.NotRun || repeatable && !ticketed
}

// isUnsent says whether a try that ended with a verdict for a reason was committed and
// reached no upstream: there was no connection to it, or to the host that was asked, or
// that host was stopping.
func isUnsent(v verdict.Verdict, r verdict.Reason) bool {
	switch r {
	case verdict.UpstreamFailed, verdict.PeerFailed, verdict.PeerStopping:
		return v == verdict.NotRun
	default:
		return false
	}
}

// slowsRamp says whether a failed try slows the ramp of its rule: a refusal or
// shed there does (docs/design/shares.md).
func slowsRamp(reason verdict.Reason) bool {
	return reason == verdict.UpstreamShed || reason == verdict.Full
}

// queueUntil gives until when a request with a deadline may wait for a slot.
func queueUntil(now, deadline time.Time) time.Time {
	return now.Add(deadline.Sub(now) / queuePart)
}

// mayQueueElsewhere says whether a request that was refused a place in a queue
// may ask another zone: when its rule has come to its cap meanwhile, the queue was
// full as well, or the host there leaves.
func mayQueueElsewhere(reason verdict.Reason) bool {
	switch reason {
	case verdict.Capped, verdict.Full, verdict.PeerStopping:
		return true
	default:
		return false
	}
}

// mayHedge says whether a second try may run beside a request's first: only a
// lookup may, as both may run.
func mayHedge(class config.Class, repeatable, ticketed bool) bool {
	return class == config.Interactive && repeatable && !ticketed
}

// hedgeDelay gives when the second try is sent, by the usual latency of the
// service's upstreams here.
func hedgeDelay(latency time.Duration) time.Duration {
	return max(hedgeLeast, hedgeAfter*latency)
}

// finalVerdict is the verdict over all tries. Last is how the last one ended,
// nil when there was none; doubt is set when any of them may have run, and
// capped when a rule was at its cap.
func finalVerdict(last *verdict.Error, doubt, capped bool) *verdict.Error {
	switch {
	case last == nil && capped:
		last = verdict.New(verdict.NotRun, verdict.Capped, "every rule is at its cap")
	case last == nil:
		last = verdict.New(verdict.NotRun, verdict.NoUpstream, "no zone has an upstream that can be reached")
	}
	out := *last
	if doubt && out.Verdict == verdict.NotRun {
		out.Verdict = verdict.MayHaveRun
	}
	if out.RetryAfter == 0 && out.Verdict == verdict.NotRun && out.Reason != verdict.Stopping {
		out.RetryAfter = admission.RetryAfter
	}
	return &out
}
