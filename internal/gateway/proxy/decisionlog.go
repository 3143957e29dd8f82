package proxy

import (
	"context"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/httpserver"
	"cairndock/internal/verdict"
)

// logAttempt logs why an attempt used its upstream and how it ended. e is nil when the
// response is forwarded. status is zero when there was no response or classify rejected
// it; the reason in e distinguishes these cases.
func (f *inflight) logAttempt(a *attempt, status int, e *verdict.Error) {
	c := a.choice
	ev := eventlog.Attempt{
		Request: f.info.ID, Route: f.route.Name, Service: f.service, Upstream: c.Upstream.ID, Zone: c.Upstream.Zone,
		Key: f.info.Key, Number: a.number, Config: f.config.Version, Load: c.Load, LoadAge: c.LoadAge, Capacity: c.Upstream.Capacity, Rank: c.Rank, Cold: c.Cold,
		Outcome: eventlog.OutcomeAnswered, Status: status, Took: time.Since(a.began), Withheld: withheldDetail(c.Withheld), PassedOver: passedOverDetail(c.PassedOver),
	}
	if e != nil {
		ev.Outcome, ev.Failed, ev.Detail = string(e.Reason), true, e.Detail
		ev.Unacknowledged = a.progress.Unacknowledged()
		f.proxy.Metrics.Count(`cairndock_attempt_failures_total{reason="` + string(e.Reason) + `"}`)
	}
	if ev.Unacknowledged > 0 {
		f.proxy.Metrics.Count("cairndock_attempts_unacknowledged_total")
	}
	if e != nil && e.Reason == verdict.UpstreamFailed && status == 0 {
		// Fingerprints are only needed to compare failed attempts. Computing one for each
		// attempt would mean hashing every request.
		ev.Caller, ev.Fingerprint = f.address, f.fingerprint().String()
	}
	f.proxy.Log.Attempt(ev)
}

// logWarmUp logs that the request was sent to a cold upstream.
func (a *attempt) logWarmUp() {
	f, c := a.inflight, a.choice
	f.proxy.Log.WarmUp(eventlog.WarmUp{
		Request: f.info.ID, Upstream: c.Upstream.ID, Zone: c.Upstream.Zone, Waited: time.Since(a.began),
		Sent: c.WarmUp.Sent, SentWarm: c.WarmUp.SentWarm, Quota: c.WarmUp.Quota.Requests, Hosts: c.WarmUp.Quota.Hosts,
	})
}

// clientState returns whether the client of a request can still receive a response.
func clientState(ctx context.Context) eventlog.ClientState {
	switch {
	case httpserver.ClosedHere(ctx):
		return eventlog.ClientCut
	case ctx.Err() != nil:
		return eventlog.ClientLeft
	default:
		return eventlog.ClientConnected
	}
}

// logFinal logs the response that the client got. e is nil for a complete response of an
// upstream.
func (f *inflight) logFinal(status int, e *verdict.Error) {
	ev := eventlog.Final{
		Request: f.info.ID, Service: f.service, Attempts: f.startedAttempts, Status: status, Verdict: verdict.Ran.String(),
		ConfigAge: f.proxy.ConfigAge(), UpstreamsAge: f.proxy.UpstreamsAge(), Took: time.Since(f.began),
		Client: clientState(f.clientCtx),
	}
	if f.config != nil {
		ev.Config = f.config.Version
	}
	if f.route != nil {
		ev.Route, ev.Priority, ev.Objective = f.route.Name, f.priority(), f.route.Objective
	}
	ev.Account = f.accountName()
	if e != nil {
		ev.Verdict, ev.Reason, ev.Detail, ev.Failed = e.Verdict.String(), string(e.Reason), e.Detail, true
		ev.RetryDenied = f.retryDeniedDetail()
	}
	f.proxy.Log.Final(ev)
}

// retryDeniedDetail describes the usage of the retry budget when it denied the request
// another attempt. It is empty if no attempt was denied.
func (f *inflight) retryDeniedDetail() string {
	if f.retryDenied == nil {
		return ""
	}
	return f.retryDenied.String()
}
