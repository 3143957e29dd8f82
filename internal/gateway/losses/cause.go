package losses

import (
	"strings"
	"time"

	"cairndock/internal/gateway/logline"
	"cairndock/internal/verdict"
)

// Cause is the reason why a request missed its objective.
type Cause string

// The causes of late responses, in the order in which they are checked. A request
// without a response has the prefix refused or failed as its cause, followed by
// the reason in its final log line.
const (
	// None means that the response met the objective.
	None Cause = ""
	// Repeated means that the request was sent a second time. The outcome of the
	// first attempt is appended.
	Repeated Cause = "late: repeated after "
	// WarmingUp means that the upstream was warming up.
	WarmingUp Cause = "late: warming up"
	// FirstRequest means that the request was the first one for its object at the
	// upstream.
	FirstRequest Cause = "late: first request"
	// BehindFirst means that the request was queued while the upstream processed
	// first requests for other objects.
	BehindFirst Cause = "late: behind first requests"
	// Waiting means that the request was queued behind other requests.
	Waiting Cause = "late: waiting"
	// Slow means that the response took long although the upstream had free
	// capacity.
	Slow Cause = "late: slow upstream"
	// Other means that the response took only slightly longer than usual, for
	// example because of the latency to another region, an earlier attempt by the
	// client itself, or a large response.
	Other Cause = "late: other"

	refused = "refused: "
	failed  = "failed: "
)

// slowFactor is the multiple of the usual time above which a response of an
// upstream with free capacity counts as slow. Without queueing, 95% of the
// responses for objects that the upstream has seen take less.
const slowFactor = 1.8

// lostFraction returns the fraction of its weight that a request loses by a cause.
// A late response keeps lateFraction.
func lostFraction(c Cause, lateFraction float64) float64 {
	switch {
	case c == None:
		return 0
	case isLate(c):
		return 1 - lateFraction
	default:
		return 1
	}
}

// cause returns the cause for which a request missed its objective. The parameter
// rtt is the round-trip time between client and host.
func (h *history) cause(f logline.Line, rtt time.Duration) Cause {
	if f.Reason != "" {
		return unserved(f)
	}
	allowed := f.ObjectiveMS - float64(rtt)/float64(time.Millisecond)
	if f.ObjectiveMS == 0 || f.TookMS <= allowed {
		return None
	}
	return h.lateCause(h.byRequest[f.Request])
}

// unserved returns the cause of a request without a response from an upstream.
func unserved(f logline.Line) Cause {
	if f.Verdict == verdict.NotRun.String() {
		return Cause(refused + f.Reason)
	}
	return Cause(failed + f.Reason)
}

// lateCause returns the cause of a late response to a request with the given
// attempts.
func (h *history) lateCause(attempts []*attempt) Cause {
	if len(attempts) == 0 {
		return Other
	}
	a := attempts[0]
	if len(attempts) > 1 {
		return Repeated + Cause(a.Outcome)
	}
	running, behindFirst := h.runningWith(a)
	switch {
	case a.Cold:
		return WarmingUp
	case a.first:
		return FirstRequest
	case running >= a.Capacity && behindFirst:
		return BehindFirst
	case running >= a.Capacity:
		return Waiting
	case a.TookMS > slowFactor*h.usual[a.Service]:
		return Slow
	default:
		return Other
	}
}

// runningWith returns the number of other attempts that were running or queued at
// the same upstream when an attempt began, and reports whether one of them was a
// first request.
func (h *history) runningWith(a *attempt) (running int, first bool) {
	for _, other := range h.byUpstream[a.Upstream] {
		if other.began.After(a.began) {
			break
		}
		if other == a || !other.Time.After(a.began) {
			continue
		}
		running++
		first = first || other.first
	}
	return running, first
}

// isLate reports whether a cause is that of a late response.
func isLate(c Cause) bool {
	switch c {
	case WarmingUp, FirstRequest, BehindFirst, Waiting, Slow, Other:
		return true
	default:
		return strings.HasPrefix(string(c), string(Repeated))
	}
}
