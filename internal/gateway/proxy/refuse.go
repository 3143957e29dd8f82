package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/warmup"
	"cairndock/internal/requestbody"
	"cairndock/internal/verdict"
)

// Every error response that the gateway generates is written by refuse. The request was
// refused
//
//   - before an attempt: by prepare (request.go) when the host is starting, no
//     route matches or the request exceeds a limit of the configuration, or by
//     choose (choose.go) when the balancer has no upstream for it;
//   - after attempts: by finalVerdict, which considers all of them. What the error
//     of one attempt means is decided in classify.go, or in package exchange when
//     there was no response.

// refuse writes an error response that the gateway generates.
func (f *inflight) refuse(w http.ResponseWriter, err error) {
	e := verdict.From(err) // the error belongs to this request, so that it can be changed without a copy
	e.RetryAfter = cmp.Or(e.RetryAfter, retry.After(e.Verdict, e.Reason).Draw())
	f.proxy.Metrics.Count(`cairndock_refusals_total{reason="` + string(e.Reason) + `",verdict="` + e.Verdict.String() + `"}`)
	f.proxy.closeIfLeaving(w)
	status := f.proxy.Codec.WriteError(w, f.info, e)
	f.logFinal(status, e)
}

// requestBodyError returns the error for a body that was not read: it exceeds its limit in bytes, the
// memory for bodies is in use, it arrived too slowly, or the client disconnected.
func requestBodyError(err error, limit int64) error {
	switch {
	case errors.Is(err, requestbody.ErrTooLarge):
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "body exceeds %d bytes", limit)
	case errors.Is(err, requestbody.ErrFull):
		return errBodiesFull()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.BodyStalled, "body not received before the deadline")
	default:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "body broke off")
	}
}

// errBodiesFull returns the error of a request whose body has no room in memory.
func errBodiesFull() error {
	return verdict.New(verdict.NotRun, verdict.BodiesFull, "the bodies of the requests in flight leave no memory for the body")
}

// notChosen returns the error when the balancer chose no upstream. preferred is the
// upstream that the balancer would have preferred; it is only used in the error message.
func notChosen(reason balance.Reason, service string, preferred balance.Choice) error {
	if reason == balance.NoUpstream {
		return verdict.New(verdict.NotRun, verdict.NoUpstream, "no upstream of %s may serve the request", service)
	}
	if reason == balance.AllWithheld {
		return withheld(service, preferred.Withheld)
	}
	if reason == balance.WarmUpLimited && preferred.WarmUp.Quota.Withheld == warmup.Stopping {
		return verdict.New(verdict.NotRun, verdict.Stopping, "the host is stopping and has no share of the rate of %s", preferred.Upstream.ID)
	}
	verdictReason := verdict.Full
	if reason == balance.WarmUpLimited {
		verdictReason = verdict.Warming
	}
	return verdict.New(verdict.NotRun, verdictReason, "preferred upstream %s has load %.2f, reported %d ms ago, cold %t%s",
		preferred.Upstream.ID, preferred.Load, preferred.LoadAge.Milliseconds(), preferred.Cold, quotaDetail(preferred))
}

// withheld returns the error when no upstream accepts requests at present. If it is known
// when the first of them accepts requests again, the client should not return earlier.
func withheld(service string, w balance.Withheld) error {
	err := verdict.New(verdict.NotRun, verdict.Withheld, "%d upstreams of %s are withheld: %s", w.Count, service, withheldDetail(w))
	if w.For == 0 {
		return err
	}
	return err.WithRetryAfter(retry.AfterWithheld(w.For).Draw())
}

// withheldDetail describes why upstreams were passed over. It is empty if none was.
func withheldDetail(w balance.Withheld) string {
	switch {
	case w.Count == 0:
		return ""
	case w.Last.Leaving:
		return w.Last.Upstream + " is leaving"
	case w.Last.BackingOff:
		return fmt.Sprintf("%s accepts no requests from this host for %d ms", w.Last.Upstream, w.Last.For.Milliseconds())
	}
	return fmt.Sprintf("%s accepts %g requests per second from all hosts, this host has %d of %d tokens", w.Last.Upstream, w.Last.PerSecond, w.Last.Share, w.Last.Tokens)
}

// passedOverDetail describes the upstream that was passed over because of its expected load.
// It is empty if none was.
func passedOverDetail(p *balance.PassedOver) string {
	if p == nil {
		return ""
	}
	reported := "it has reported nothing"
	if p.LoadAge >= 0 {
		reported = fmt.Sprintf("its last report is %d ms old", p.LoadAge.Milliseconds())
	}
	return fmt.Sprintf("%s has an expected load of %.2f, the chosen one %.2f; %s", p.Upstream, p.Expected, p.ChosenExpected, reported)
}

// quotaDetail describes how much of the host's warm-up quota at a cold upstream is used.
func quotaDetail(c balance.Choice) string {
	if !c.Cold {
		return ""
	}
	q := c.WarmUp.Quota
	text := fmt.Sprintf(", %d of %d requests sent in the last second, shared by %d hosts", c.WarmUp.Sent+c.WarmUp.SentWarm, q.Requests, q.Hosts)
	if q.Withheld != warmup.NotWithheld {
		text += ", no quota: " + string(q.Withheld)
	}
	return text
}

// finalVerdict combines the results of all attempts of a request. last is the error that
// ended it, from an attempt or the balancer. mayHaveRun is the error of the last attempt
// that may have run the request, or nil. One such attempt decides the verdict, whatever
// came after it. hostAborted says that the host aborted the request while the client was
// still waiting. An attempt cannot distinguish this from a client that disconnected,
// because both cancel its context.
func finalVerdict(last, mayHaveRun *verdict.Error, hostAborted bool) *verdict.Error {
	e := last
	if mayHaveRun != nil {
		e = mayHaveRun
	}
	if e.Reason != verdict.CallerLeft || !hostAborted {
		return e
	}
	reason := verdict.Interrupted
	if e.Verdict == verdict.NotRun {
		reason = verdict.Stopping
	}
	return verdict.New(e.Verdict, reason, "the host is stopping").WithUpstream(e.Upstream)
}
