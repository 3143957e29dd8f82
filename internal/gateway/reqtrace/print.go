package reqtrace

import (
	"fmt"
	"strings"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
)

// String returns a line for each step and a line for the cause.
func (t Trace) String() string {
	var b strings.Builder
	for _, l := range t.stateChanges {
		fmt.Fprintf(&b, "%s %s before: %s\n", l.Time.Format(time.TimeOnly), l.Host, stateChangeText(l))
	}
	for _, l := range t.lines {
		fmt.Fprintf(&b, "%s %s %s\n", l.Time.Format(time.TimeOnly), l.Host, stepText(l))
	}
	fmt.Fprintf(&b, "cause: %s\n", t.Cause())
	return b.String()
}

func stateChangeText(l logline.Line) string {
	switch l.Event {
	case eventlog.EventLost:
		return fmt.Sprintf("lost %s %s: %s", l.Dependency, l.Name, l.Error)
	case eventlog.EventEjected:
		return fmt.Sprintf("ejected upstream %s for %.0f ms: %d failures and %d successes, failures seen by %d hosts",
			l.Upstream, l.ForMS, l.Failures, l.Successes, l.Hosts)
	default:
		return fmt.Sprintf("upstream %s is %s", l.Upstream, l.State)
	}
}

func stepText(l logline.Line) string {
	text := fmt.Sprintf("final response %d after %.0f ms and %d attempts: %s %s (configuration %d confirmed %.0f ms earlier, upstreams %.0f ms)",
		l.Status, l.TookMS, l.Attempts, l.Verdict, l.Reason, l.Config, l.ConfigAgeMS, l.UpstreamsAgeMS)
	if l.Event == eventlog.EventAttempt {
		text = fmt.Sprintf("attempt %d to %s in %s (preference %d of its key, %s, cold %t, configuration %d): %s after %.0f ms",
			l.Attempt, l.Upstream, l.Zone, l.Rank+1, loadText(l), l.Cold, l.Config, l.Outcome, l.TookMS)
	}
	if l.Detail != "" {
		text += ": " + l.Detail
	}
	if l.Withheld != "" {
		text += "; passed over before: " + l.Withheld
	}
	return text
}

// loadText describes the load and the age of the load report. The age is 0 if there was no
// report, and negative if the report arrived while the upstream was being chosen.
func loadText(l logline.Line) string {
	if l.LoadAgeMS == 0 {
		return fmt.Sprintf("load %.2f, never reported", l.Load)
	}
	return fmt.Sprintf("load %.2f reported %.0f ms earlier", l.Load, max(0, l.LoadAgeMS))
}
