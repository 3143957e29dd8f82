package reqtrace

import "fmt"

// staleFrom is the age, in milliseconds, from which on what a host knows may
// itself be a cause.
const staleAbove = 4000

// Cause says in words why the request ended as it did.
func (t Trace) Cause() string {
	last := t.Lines[len(t.Lines)-1]
	if last.Event != "final" {
		return "unknown: the final answer's line is missing, the host may have ended before it"
	}
	cause := t.cause(last)
	if stale := max(last.ConfigAge, last.StateAge); stale > staleAbove {
		cause += fmt.Sprintf("; the host's knowledge was %.1f s old", stale/1000)
	}
	return cause
}

func (t Trace) cause(final Line) string {
	if final.Reason == "" {
		if n := len(t.Lines) - 1; n > 1 {
			return fmt.Sprintf("served, after %d attempts: %s first", n, t.Lines[0].Outcome)
		}
		return "served"
	}
	failed := t.lastFailure()
	switch final.Reason {
	case "full":
		return "refused for overload: every upstream that it may go to was full, nothing ran"
	case "warming":
		return "refused: the homes of its key were cold and had their share of requests, nothing ran"
	case "no-upstream":
		return "refused: no upstream of " + final.Service + " may serve it (all drain, are evacuated or are in regions not allowed)"
	case "not-ready":
		return "refused: the host had just started and knew no configuration"
	case "unknown-route":
		return fmt.Sprintf("no route matches it in configuration %d", final.Config)
	case "upstream-shed":
		return "refused by the upstreams themselves, " + failed.Upstream + " last: they were full"
	case "unreachable":
		return "no connection to upstream " + failed.Upstream + ": it is gone, cut off or overloaded"
	case "misdirected":
		return "another instance has the address of upstream " + failed.Upstream + ", which is gone"
	case "deadline-lapsed":
		return fmt.Sprintf("time ran out waiting for upstream %s: it was slow, was lost, or its answer was", failed.Upstream)
	case "stopping":
		return "the host had to end before the request was sent anywhere, nothing ran"
	case "interrupted":
		return "the host had to end before the answer came: the request takes longer than the grace of a planned stop"
	case "caller-left":
		return "its caller left before there was an answer"
	case "upstream-failed", "answer-truncated":
		return "upstream " + failed.Upstream + " failed: " + failed.Detail
	default:
		return final.Reason + ": " + final.Detail
	}
}

// lastFailure gives the last attempt that failed, or an empty line.
func (t Trace) lastFailure() Line {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if l := t.Lines[i]; l.Event == "attempt" && l.Outcome != "answered" {
			return l
		}
	}
	return Line{Upstream: "(none)"}
}
