package gateway

import (
	"net/http"
	"time"

	"cairndock/internal/balance"
	"cairndock/internal/exchange"
	"cairndock/internal/verdict"
)

// observation watches one attempt for what it shows of its upstream's health.
type observation struct {
	dispatch *dispatch
	upstream string
	began    time.Time
	// overdue fires when the answer takes too long; nil when it is not
	// known yet what that is.
	overdue *time.Timer
}

func (d *dispatch) observe(c balance.Choice, began time.Time) *observation {
	o := &observation{dispatch: d, upstream: c.Instance.ID, began: began}
	judge := d.gateway.Judge
	if patience := judge.Patience(d.service, c.Load); patience > 0 {
		o.overdue = time.AfterFunc(patience, func() { judge.Bad(o.upstream, time.Now()) })
	}
	return o
}

// ended notes how the attempt ended. An attempt that was overdue has been
// counted already.
func (o *observation) ended(a *exchange.Answer, err error) {
	now := time.Now()
	took := now.Sub(o.began)
	judge := o.dispatch.gateway.Judge
	if o.overdue != nil && !o.overdue.Stop() {
		judge.Slow(o.dispatch.service, took)
		return
	}
	switch {
	case err == nil && a.Status < http.StatusInternalServerError:
		judge.Good(o.dispatch.service, o.upstream, took, now)
	case err == nil, speaksAgainst(verdict.From(err).Reason):
		judge.Bad(o.upstream, now)
	}
}

// speaksAgainst reports whether a failure shows that the upstream is unwell.
// A refusal shows that it is busy, and a request that was given up nothing.
func speaksAgainst(r verdict.Reason) bool {
	return r == verdict.UpstreamFailed || r == verdict.Unreachable || r == verdict.AnswerTruncated
}
