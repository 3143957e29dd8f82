package proxy

import (
	"context"
	"net/http"
	"time"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/poison"
	"cairndock/internal/verdict"
)

// A request may terminate each upstream that runs it, and its client may send it again
// with a new ID to any host. A poison.Table, which hosts share, holds the known facts
// about such requests. This file decides when an upstream counts as terminated by a
// request, and how a suspected request is handled.

// fingerprint identifies the request by its content. It includes the credential, so that
// requests of different accounts are never confused. It excludes the client's address:
// one client has many addresses, and if they were included, each address would have to
// terminate three upstreams before the request is quarantined.
func (f *inflight) fingerprint() poison.Fingerprint {
	f.digestOnce.Do(func() {
		r := f.request
		content := poison.Content{Credential: f.info.Credential, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
		f.digest = content.Fingerprint()
	})
	return f.digest
}

// suspected reports whether upstreams terminated while they ran the same request. While
// no request at all is suspected, no fingerprint is computed, so that there is no cost in
// normal operation.
func (f *inflight) suspected() bool {
	return !f.proxy.Suspicions.Empty() && f.proxy.Suspicions.Suspected(f.fingerprint())
}

func (f *inflight) quarantined() bool {
	if f.proxy.Suspicions.Empty() {
		return false
	}
	return f.proxy.Suspicions.Quarantined(f.fingerprint(), time.Now()) || f.proxy.RefusesSuspected() && f.suspected()
}

// errQuarantined returns the error of a quarantined request, which is sent to no
// upstream.
func errQuarantined() error {
	return verdict.New(verdict.NotRun, verdict.Quarantined, "upstreams terminated while they ran this request")
}

// checkTermination checks whether an upstream has terminated, after its connection ended
// when the request had been sent. If the request is already suspected, the attempt waits
// for the check, for up to the time of a new connection, because the request must not be
// sent to the next upstream in the meantime. For other requests, the next attempt does
// not wait.
func (a *attempt) checkTermination(ctx context.Context) {
	began, ended := a.began, time.Now()
	check := func() {
		a.recordIfTerminated(ctx, poison.Attempt{Run: string(a.choice.Upstream.Run()), Began: began, Ended: ended})
	}
	if a.inflight.suspected() {
		check()
		return
	}
	go check()
}

// recordIfTerminated records a termination if the upstream of the attempt has terminated.
func (a *attempt) recordIfTerminated(ctx context.Context, observed poison.Attempt) {
	f, u := a.inflight, a.choice.Upstream
	if !f.proxy.isExpectedToRun(a) || !f.proxy.Client.HasTerminated(ctx, exchange.Target{Upstream: u.ID, Run: u.Run(), Address: u.Address}) {
		return
	}
	fingerprint := f.fingerprint()
	f.proxy.Log.UpstreamTerminated(u.ID, fingerprint.String(), f.route.Name, f.request.Target, f.address)
	f.proxy.Suspicions.RecordTermination(fingerprint, observed)
}

// isExpectedToRun reports whether the upstream of an attempt is still registered with the
// same run and is not draining. A planned end is not a failure of the request.
func (p *Proxy) isExpectedToRun(a *attempt) bool {
	current, ok := p.State.Upstreams().Get(a.choice.Upstream.ID)
	return ok && current.Run() == a.choice.Upstream.Run() && !current.Draining
}

// recordResponse clears the suspicion of a request after a complete response, unless that
// reports a failure of the upstream itself.
func (f *inflight) recordResponse(status int) {
	if status < http.StatusInternalServerError && f.suspected() {
		f.proxy.Suspicions.RecordResponse(f.fingerprint())
	}
}
