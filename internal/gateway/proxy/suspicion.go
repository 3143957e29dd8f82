package proxy

import (
	"context"
	"net/http"
	"time"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/poison"
	"cairndock/internal/verdict"
)

// A request may end each upstream that runs it, and its client sends it again with a new
// id, to any host. What is known of such requests is in a poison.Table, which hosts
// share; here is what counts as an upstream's end, and what suspicion means for a
// request.

// fingerprint identifies the request by its content. The credential is a part of it, so
// that no account's request is taken for another's. The client's address is not: one
// caller has many, and with it each address had to end three upstreams.
func (f *inflight) fingerprint() poison.Fingerprint {
	f.digestOnce.Do(func() {
		r := f.request
		content := poison.Content{Credential: f.info.Credential, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
		f.digest = content.Fingerprint()
	})
	return f.digest
}

// suspected reports whether upstreams ended under the same request. While no request
// is suspected none is digested, so that calm times cost nothing.
func (f *inflight) suspected() bool {
	return !f.proxy.Suspicions.Empty() && f.proxy.Suspicions.Suspected(f.fingerprint())
}

func (f *inflight) quarantined() bool {
	return !f.proxy.Suspicions.Empty() && f.proxy.Suspicions.Quarantined(f.fingerprint(), time.Now())
}

// errQuarantined is the error of a request that is sent to no upstream.
func errQuarantined() error {
	return verdict.New(verdict.NotRun, verdict.Quarantined, "upstreams ended when they ran this request")
}

// noteConnectionEnd looks whether an upstream has ended whose connection did after the
// request was sent. A request that is suspected already waits for that, up to the time
// of a new connection, as it must not go to the next upstream meanwhile; for others
// the next attempt does not wait.
func (a *attempt) noteConnectionEnd(ctx context.Context) {
	began, ended := a.began, time.Now()
	look := func() {
		a.recordIfEnded(ctx, poison.Attempt{Run: string(a.choice.Upstream.Run()), Began: began, Ended: ended})
	}
	if a.inflight.suspected() {
		look()
		return
	}
	go look()
}

// recordIfEnded records the end of the attempt's upstream if it has ended.
func (a *attempt) recordIfEnded(ctx context.Context, end poison.Attempt) {
	f, u := a.inflight, a.choice.Upstream
	if !f.proxy.expectsToRun(a) || !f.proxy.Client.HasEnded(ctx, exchange.Target{Upstream: u.ID, Run: u.Run(), Address: u.Address}) {
		return
	}
	fingerprint := f.fingerprint()
	f.proxy.Log.UpstreamTerminated(u.ID, fingerprint.String(), f.route.Name, f.request.Target, f.address)
	f.proxy.Suspicions.RecordEnd(fingerprint, end)
}

// expectsToRun reports whether an attempt's upstream is still registered as the run
// that it was, and is not draining: a planned end is nobody's fault.
func (p *Proxy) expectsToRun(a *attempt) bool {
	now, ok := p.State.Upstreams().Get(a.choice.Upstream.ID)
	return ok && now.Run() == a.choice.Upstream.Run() && !now.Draining
}

// noteResponse clears the request of suspicion once it has a whole response, other than
// the upstream's own failure.
func (f *inflight) noteResponse(status int) {
	if status < http.StatusInternalServerError && f.suspected() {
		f.proxy.Suspicions.RecordResponse(f.fingerprint())
	}
}
