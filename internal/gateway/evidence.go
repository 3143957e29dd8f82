package gateway

import (
	"net/http"
	"time"

	"cairndock/internal/balance"
	"cairndock/internal/exchange"
	"cairndock/internal/verdict"
)

// evidence watches one attempt for what it shows of its upstream's health.
type evidence struct {
	dispatch *dispatch
	upstream string
	began    time.Time
	// overdue fires when the answer takes too long; nil when it is not
	// known yet what that is.
	overdue *time.Timer
}

func (d *dispatch) watch(c balance.Choice, began time.Time) *evidence {
	e := &evidence{dispatch: d, upstream: c.Instance.ID, began: began}
	judge := d.gateway.Judge
	if patience := judge.Patience(d.service, c.Load); patience > 0 {
		e.overdue = time.AfterFunc(patience, func() { judge.Bad(e.upstream, time.Now()) })
	}
	return e
}

// ended notes how the attempt ended. An attempt that was overdue has been
// counted already.
func (e *evidence) ended(a *exchange.Answer, err error) {
	now := time.Now()
	took := now.Sub(e.began)
	judge := e.dispatch.gateway.Judge
	if e.overdue != nil && !e.overdue.Stop() {
		judge.Slow(e.dispatch.service, took)
		return
	}
	switch {
	case err == nil && a.Status < http.StatusInternalServerError:
		judge.Good(e.dispatch.service, e.upstream, took, now)
	case err == nil, speaksAgainst(verdict.From(err).Reason):
		judge.Bad(e.upstream, now)
	}
}

// speaksAgainst reports whether a failure shows that the upstream is unwell.
// A refusal shows that it is busy, and a request that was given up nothing.
func speaksAgainst(r verdict.Reason) bool {
	return r == verdict.UpstreamFailed || r == verdict.Unreachable || r == verdict.AnswerTruncated
}
