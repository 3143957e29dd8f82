package proxy

import (
	"cmp"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/rollout"
)

// choose asks the balancer for the next upstream of the request. The request counts as
// outstanding at that upstream until release. The error says why no upstream was chosen.
func (f *inflight) choose() (balance.Choice, error) {
	if err := f.confirmKey(); err != nil {
		return balance.Choice{}, err
	}
	for {
		choice, reason := f.chooseBy(f.plan())
		if reason != balance.Chosen {
			return balance.Choice{}, notChosen(reason, f.service, choice)
		}
		// The request counts as in flight from here on. A host that confirms that none is in
		// flight at a version has changed the plan before.
		if f.plan().Allows(choice.Upstream) {
			f.proxy.observeReportAge(choice)
			return choice, nil
		}
		f.proxy.Balancer.Done(choice)
	}
}

// observeReportAge observes the age of the load report that a choice used, if there is one.
func (p *Proxy) observeReportAge(c balance.Choice) {
	if c.LoadAge >= 0 {
		p.Metrics.Observe("cairndock_choice_report_age_seconds", c.LoadAge.Seconds())
	}
}

// plan returns the plan of the roll-out of the request's service; nil if there is none.
func (f *inflight) plan() *rollout.Plan {
	return f.proxy.Rollouts.Plan(f.service, f.proxy.State.Upstreams())
}

// chooseBy asks the balancer for an upstream among those that a plan names.
func (f *inflight) chooseBy(plan *rollout.Plan) (balance.Choice, balance.Reason) {
	q := f.query(time.Now())
	if plan == nil {
		return f.proxy.Balancer.Choose(q)
	}
	preferred, fallback := plan.Candidates(q.Key, f.startedAttempts == 0)
	q.Upstreams = preferred
	choice, reason := f.proxy.Balancer.Choose(q)
	if reason == balance.Chosen || len(fallback) == 0 {
		return choice, reason
	}
	q.Upstreams = fallback
	return f.proxy.Balancer.Choose(q)
}

// key returns the key that decides which upstreams the request prefers. A request without a key
// uses its ID instead, so that such requests do not all prefer the same upstreams.
func (f *inflight) key() string { return cmp.Or(f.info.Key, f.info.ID) }

// hasAffinity reports whether an upstream that served the request's object recently is
// faster on it.
func (f *inflight) hasAffinity() bool { return f.info.Key != "" && f.route.Sticky }

// query returns the input of a choice, apart from the load and health of the upstreams:
// the key and priority of the request, and the configuration of its route and service.
func (f *inflight) query(now time.Time) balance.Query {
	q := balance.Query{
		Key:        f.key(),
		NoAffinity: !f.hasAffinity(),
		Upstreams:  f.proxy.State.Upstreams().Service(f.service),
		Priority:   f.priority(),
		Bulk:       f.route.Bulk,
		MeanBytes:  f.proxy.payload.Mean(f.route.Name),
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
