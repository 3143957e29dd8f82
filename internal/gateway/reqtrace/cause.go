package reqtrace

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
	"cairndock/internal/verdict"
)

// staleTablesMS is the age of a host's tables, in milliseconds, above which stale tables
// may be a cause. It is twice the default time within which a change must be applied, 2 s.
const staleTablesMS = 4000

// causes maps the reasons of responses that the gateway generates to their causes.
// {upstream} is the upstream of the attempt that decided the final response. {service},
// {account}, {config} and {detail} are fields of the final response.
var causes = map[verdict.Reason]string{
	verdict.Full:              "overload: every upstream that may serve the request was full; it did not run",
	verdict.BodiesFull:        "{detail}; it did not run",
	verdict.Warming:           "every upstream with capacity was warming up and this host had used its warm-up quota; the request did not run",
	verdict.Withheld:          "all upstreams that may serve the request said that they take none now: {detail}; it did not run",
	verdict.Quarantined:       "upstreams terminated one after another while they ran the same request (see the events quarantined and upstream-ended); it did not run",
	verdict.NoUpstream:        "no eligible upstream of {service}: all are draining, evacuated or outside the allowed regions",
	verdict.NotReady:          "the host had just started and had no configuration yet",
	verdict.UnknownKey:        "the request's key is missing, repeated or not of a client account in configuration {config}; it did not run",
	verdict.KeyUnconfirmed:    "the host could not confirm for too long whether keys had been revoked: {detail}; it did not run",
	verdict.OverLimit:         "client account {account} was over its limit, as far as the host could know: {detail}; it did not run",
	verdict.UnknownRoute:      "no route matches the request in configuration {config}",
	verdict.UpstreamShed:      "load shed by the upstreams, last by {upstream}: they were full",
	verdict.UpstreamDeclined:  "refused by the upstreams, last by {upstream}, though they reported free capacity: {detail}",
	verdict.Unreachable:       "could not connect to upstream {upstream}: it is gone, cut off or overloaded",
	verdict.ConnectionRefused: "nothing listens at the address of upstream {upstream}: its process has ended",
	verdict.Misdirected:       "the address of upstream {upstream} belongs to another upstream now: {upstream} has ended",
	verdict.DeadlineLapsed:    "deadline exceeded waiting for upstream {upstream} (no response received)",
	verdict.Stopping:          "the host was stopping and the request had not been sent to an upstream; it did not run",
	verdict.Interrupted:       "the host was stopping and the response did not arrive within its grace period",
	verdict.Superseded:        "another upstream responded before {upstream}",
	verdict.CallerLeft:        "the client disconnected before there was a response",
	verdict.UpstreamFailed:    "upstream {upstream} failed: {detail}",
	verdict.PeerFailed:        "the host reached no upstream, and the host that it sent the request through failed: {detail}",
	verdict.PeerStopping:      "the host reached no upstream, and the host that it sent the request through was stopping: {detail}",
	verdict.AnswerTruncated:   "the response of upstream {upstream} broke off: {detail}",
}

// Cause returns one sentence about the cause of the request's final response.
func (t Trace) Cause() string {
	final := t.lines[len(t.lines)-1]
	if final.Event != eventlog.EventFinal {
		return "unknown: the line of the final response is missing (it was dropped, or the host ended before it was written)"
	}
	cause := t.causeOf(final)
	if final.RetryDenied != "" {
		cause += "; the retry budget allowed no other attempt: " + final.RetryDenied
	}
	if age := max(final.ConfigAgeMS, final.UpstreamsAgeMS); age > staleTablesMS {
		cause += fmt.Sprintf("; the host's tables were last confirmed %.1f s earlier", age/1000)
	}
	return cause
}

func (t Trace) causeOf(final logline.Line) string {
	if final.Reason == "" {
		return t.servedText(final)
	}
	cause, ok := causes[final.Reason]
	if !ok {
		return string(final.Reason) + ": " + final.Detail
	}
	return strings.NewReplacer(
		"{upstream}", t.decidingUpstream(final.Reason),
		"{service}", final.Service,
		"{account}", final.Account,
		"{config}", strconv.FormatInt(final.Config, 10),
		"{detail}", final.Detail,
	).Replace(cause)
}

// decidingUpstream returns the upstream of the attempt that decided the final response.
// This is the last attempt whose outcome equals the response's reason, or the last attempt
// if there is none.
func (t Trace) decidingUpstream(reason verdict.Reason) string {
	var deciding, last string
	for _, l := range t.lines {
		if l.Event != eventlog.EventAttempt {
			continue
		}
		last = l.Upstream
		if l.Outcome == string(reason) {
			deciding = l.Upstream
		}
	}
	return cmp.Or(deciding, last, "(its attempt is not in the logs)")
}

func (t Trace) servedText(final logline.Line) string {
	if final.Attempts <= 1 {
		return "served"
	}
	text := fmt.Sprintf("served after %d attempts", final.Attempts)
	if first := t.lines[0]; first.Event == eventlog.EventAttempt {
		text += fmt.Sprintf(" (attempt %d: %s)", first.Attempt, first.Outcome)
	}
	return text
}
