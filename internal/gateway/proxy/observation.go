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
type observation struct {
	dispatch *dispatch
	upstream string
	began    time.Time
	patience time.Duration
	// mayResend says that the request may go to another upstream until a
	// time.
	mayResend bool
	until     time.Time
	giveUp    context.CancelFunc
	// overdue fires when the answer takes too long; nil when it is not
	// known yet what that is.
	overdue *time.Timer

	mu sync.Mutex
	// settled says that the answer's header came, or that it is overdue.
	settled bool
	// givenUp says that the attempt was ended for another.
	givenUp bool
}

// observe watches an attempt that begins. giveUp ends it.
func (d *dispatch) observe(c balance.Choice, began time.Time, giveUp context.CancelFunc) *observation {
	o := &observation{dispatch: d, upstream: c.Instance.ID, began: began, giveUp: giveUp}
	o.mayResend = d.route.Repeat == route.Repeatable && len(d.tried) < d.route.Attempts
	o.until = d.deadline()
	o.patience = d.gateway.Judge.Patience(d.service, c.Load)
	if o.patience > 0 {
		o.overdue = time.AfterFunc(o.patience, o.late)
	}
	return o
}

// late notes that the answer is overdue. A request that may be repeated is
// sent to another upstream, if the budget of repeats allows it and there is
// time for an answer from there: the one that it waits for may be lost.
func (o *observation) late() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.settled {
		return
	}
	o.settled = true
	now := time.Now()
	gateway, service := o.dispatch.gateway, o.dispatch.service
	gateway.Judge.Bad(o.upstream, now)
	if !o.mayResend || o.until.Sub(now) < o.patience {
		return
	}
	if gateway.Budget.Take(service, gateway.Hosts.Hosts(), now) {
		o.givenUp = true
		o.giveUp()
	}
}

// ended notes how the attempt ended; one that was overdue has been counted
// already. It reports whether it was given up for another.
func (o *observation) ended(a *exchange.Answer, err error) (givenUp bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	took := now.Sub(o.began)
	judge := o.dispatch.gateway.Judge
	if o.settled {
		judge.Slow(o.dispatch.service, took)
		return o.givenUp
	}
	o.settled = true
	if o.overdue != nil {
		o.overdue.Stop()
	}
	switch {
	case err == nil && a.Status < http.StatusInternalServerError:
		judge.Good(o.dispatch.service, o.upstream, took, now)
	case err == nil, speaksAgainst(verdict.From(err).Reason):
		judge.Bad(o.upstream, now)
	}
	return false
}

// speaksAgainst reports whether a failure shows that the upstream is unwell.
// A refusal shows that it is busy, and a request that was given up nothing.
func speaksAgainst(r verdict.Reason) bool {
	return r == verdict.UpstreamFailed || r == verdict.Unreachable || r == verdict.AnswerTruncated
}
