package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/route"
	"cairndock/internal/verdict"
)

// overdue is the verdict on an attempt that was given up for another.
func overdue(upstream string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, "the answer is overdue, another upstream is tried").WithUpstream(upstream)
}

// observation watches one attempt for what it shows of its upstream's health.
type overdueTimer struct {
	request  *inflight
	upstream string
	began    time.Time
	after    time.Duration
	// mayResend says that the request may go to another upstream until a
	// time.
	mayResend bool
	until     time.Time
	cancel    context.CancelFunc
	// overdue fires when the answer takes too long; nil when it is not
	// known yet what that is.
	overdue *time.Timer

	mu sync.Mutex
	// settled says that the answer's header came, or that it is overdue.
	settled bool
	// givenUp says that the attempt was ended for another.
	canceled bool
}

// observe watches an attempt that begins. giveUp ends it.
func (d *inflight) startOverdueTimer(c balance.Choice, began time.Time, giveUp context.CancelFunc) *overdueTimer {
	o := &overdueTimer{request: d, upstream: c.Upstream.ID, began: began, cancel: giveUp}
	o.mayResend = d.route.Repeat == route.Repeatable && len(d.tried) < d.route.Attempts
	o.until = d.deadline()
	o.after = d.proxy.Detector.OverdueAfter(d.service, c.Load)
	if o.after > 0 {
		o.overdue = time.AfterFunc(o.after, o.fire)
	}
	return o
}

// late notes that the answer is overdue. A request that may be repeated is
// sent to another upstream, if the budget of repeats allows it and there is
// time for an answer from there: the one that it waits for may be lost.
func (o *overdueTimer) fire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.settled {
		return
	}
	o.settled = true
	now := time.Now()
	gateway, service := o.request.proxy, o.request.service
	gateway.Detector.RecordFailure(o.upstream, now)
	if !o.mayResend || o.until.Sub(now) < o.after {
		return
	}
	if gateway.Budget.TryRetry(service, gateway.Hosts.Hosts(), now) {
		o.canceled = true
		o.cancel()
	}
}

// ended notes how the attempt ended; one that was overdue has been counted
// already. It reports whether it was given up for another.
func (o *overdueTimer) ended(a *exchange.Response, err error) (givenUp bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	took := now.Sub(o.began)
	judge := o.request.proxy.Detector
	if o.settled {
		judge.RecordLatency(o.request.service, took)
		return o.canceled
	}
	o.settled = true
	if o.overdue != nil {
		o.overdue.Stop()
	}
	switch {
	case err == nil && a.Status < http.StatusInternalServerError:
		judge.RecordSuccess(o.request.service, o.upstream, took, now)
	case err == nil, isUpstreamFault(verdict.From(err).Reason):
		judge.RecordFailure(o.upstream, now)
	}
	return false
}

// speaksAgainst reports whether a failure shows that the upstream is unwell.
// A refusal shows that it is busy, and a request that was given up nothing.
func isUpstreamFault(r verdict.Reason) bool {
	return r == verdict.UpstreamFailed || r == verdict.Unreachable || r == verdict.AnswerTruncated
}
