package proxy

import (
	"cmp"
	"time"

	"cairndock/internal/gateway/balance"
)

// choose asks the balancer for the next upstream of the request. The request counts as
// outstanding at that upstream until release. The error says why no upstream was chosen.
func (f *inflight) choose() (balance.Choice, error) {
	if err := f.confirmKey(); err != nil {
		return balance.Choice{}, err
	}
	choice, reason := f.proxy.Balancer.Choose(f.query(time.Now()))
	if reason != balance.Chosen {
		return balance.Choice{}, notChosen(reason, f.service, choice)
	}
	return choice, nil
}

// query returns the input of a choice, apart from the load and health of the upstreams:
// the key and priority of the request, and the configuration of its route and service.
//
// A request without a key uses its ID instead, so that such requests do not all prefer
// the same upstreams.
func (f *inflight) query(now time.Time) balance.Query {
	q := balance.Query{
		Key:        cmp.Or(f.info.Key, f.info.ID),
		NoAffinity: f.info.Key == "" || !f.route.Sticky,
		Upstreams:  f.proxy.State.Upstreams().Service(f.service),
		Priority:   f.priority(),
		Bulk:       f.route.Bulk,
		Mixed:      f.config.Mixed(f.service),
		Tried:      f.tried,
		Refused:    f.refused,
		Unanswered: f.unanswered,
		WarmUpRate: f.config.Service(f.service).WarmUpRate,
		Now:        now,
	}
	if f.isRegionRestricted() {
		q.Allows = f.allows
	} else {
		q.Reserved = f.config.Accounts.BoundFractions()
	}
	return q
}
