package losses

import (
	"strings"
	"time"

	"cairndock/internal/gateway/logline"
	"cairndock/internal/verdict"
)

// Cause is why a request lost worth.
type Cause string

// The causes of a response that came late, in the order in which they are
// looked for. A request that got no response has the cause refused or failed,
// with the reason of its final response.
const (
	// None is a response in time.
	None Cause = ""
	// Repeated is a request that was sent a second time; the outcome of its
	// first attempt follows.
	Repeated Cause = "late: repeated after "
	// WarmingUp is an upstream that was warming up.
	WarmingUp Cause = "late: warming up"
	// FirstRequest is the first request for an object at its upstream.
	FirstRequest Cause = "late: first request"
	// BehindFirst is a request that waited while its upstream worked on first
	// requests.
	BehindFirst Cause = "late: behind first requests"
	// Waiting is a request that waited behind others.
	Waiting Cause = "late: waiting"
	// Slow is an upstream that had room, and took long all the same.
	Slow Cause = "late: slow upstream"
	// Other is a request that took little longer than usual: the way to another
	// region, a first try of the client's own, or a large response.
	Other Cause = "late: other"

	refused = "refused: "
	failed  = "failed: "
)

// slowFactor is how many times the usual time a response takes at an upstream
// with room before the upstream counts as slow. Without a queue, 95 in 100
// responses on known objects take less (chosen by that, on a quiet day).
const slowFactor = 1.8

// lostShare is the part of its worth that a request loses by a cause.
func lostShare(c Cause, lateShare float64) float64 {
	switch {
	case c == None:
		return 0
	case isLate(c):
		return 1 - lateShare
	default:
		return 1
	}
}

// cause is why a request lost worth.
func (h *history) cause(f logline.Line, way time.Duration) Cause {
	if f.Reason != "" {
		return unserved(f)
	}
	allowed := f.ObjectiveMS - float64(way)/float64(time.Millisecond)
	if f.ObjectiveMS == 0 || f.TookMS <= allowed {
		return None
	}
	return h.lateCause(h.byRequest[f.Request])
}

// unserved is the cause of a request that got no response of an upstream's.
func unserved(f logline.Line) Cause {
	if f.Verdict == verdict.NotRun.String() {
		return Cause(refused + f.Reason)
	}
	return Cause(failed + f.Reason)
}

// lateCause is why the response to a request's attempts came late.
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

// runningWith counts the attempts that ran or waited at an attempt's upstream
// when it began, and reports whether one of them was a first request.
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

// isLate reports whether a cause is one of a late response.
func isLate(c Cause) bool {
	switch c {
	case WarmingUp, FirstRequest, BehindFirst, Waiting, Slow, Other:
		return true
	default:
		return strings.HasPrefix(string(c), string(Repeated))
	}
}
