package loadmodel

import (
	"strconv"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
	"cairndock/internal/verdict"
)

// heartbeatEvery is how often hosts of a region tell each other what failed
// (package fleet).
const heartbeatEvery = 800 * time.Millisecond

// host is one host with the real decisions of a gateway.
type host struct {
	model    *Model
	name     string
	zone     *place
	variant  Variant
	balancer *balance.Balancer
	detector *outlier.Detector
	budget   *retry.Budget
}

// unlimited is a warm-up quota: the model's upstreams do not turn cold.
type unlimited struct{}

// WarmUpQuota implements balance.WarmUpQuotas.
func (unlimited) WarmUpQuota(string, string, float64) warmup.Quota { return warmup.Quota{} }

// silent is an outlier.Reporter: the model's hosts send what they saw with the
// next heartbeat.
type silent struct{}

// FailureSeen implements outlier.Reporter.
func (silent) FailureSeen() {}

// Ejected implements outlier.Reporter.
func (silent) Ejected(outlier.Ejection) {}

func newHost(m *Model, z *place, number int, v Variant) *host {
	h := &host{model: m, name: z.Name + "-" + strconv.Itoa(number), zone: z, variant: v}
	h.restart()
	return h
}

// restart forgets all that the host knows. Its retry budget is that of a process
// which has run for a window.
func (h *host) restart() {
	m := h.model
	h.detector = outlier.New(silent{})
	h.balancer = balance.New(balance.Location{Zone: h.zone.Name, Region: h.zone.Region, Regions: len(m.regions)}, unlimited{}, h.detector, h.variant.Balance)
	h.budget = retry.NewBudget(m.limits, m.clock.now.Add(-m.limits.Window), 0)
}

// serve takes a call.
func (h *host) serve(c *call) {
	now := h.model.clock.now
	p := &pass{host: h, call: c, began: now}
	h.budget.RecordRequest(c.route.Service, now)
	choice, reason := h.balancer.Choose(p.query())
	if reason != balance.Chosen {
		p.refuse(reasonOf(reason))
		return
	}
	p.timeout = h.model.clock.in(p.hold(), p.lapse)
	p.start(choice)
}

// pause is when a client that was refused should return.
func (h *host) pause(reason verdict.Reason) time.Duration {
	pause := retry.After(verdict.NotRun, reason)
	if h.variant.PauseLeast > 0 {
		pause = retry.Delay{Min: time.Duration(h.variant.PauseLeast), Jitter: time.Duration(h.variant.PauseJitter)}
	}
	return pause.Min + time.Duration(h.model.random.Float64()*float64(pause.Jitter))
}

// reasonOf is the reason of a call that no upstream was chosen for.
func reasonOf(r balance.Reason) verdict.Reason {
	switch r {
	case balance.NoUpstream:
		return verdict.NoUpstream
	case balance.WarmUpLimited:
		return verdict.Warming
	default:
		return verdict.Full
	}
}

// heartbeat tells the region's other hosts what failed.
func (h *host) heartbeat() {
	now := h.model.clock.now
	observations := h.detector.Observations(now)
	if len(observations) == 0 {
		return
	}
	for _, other := range h.model.hosts {
		if other != h && other.zone.Region == h.zone.Region {
			other.detector.Merge(h.name, observations, now)
		}
	}
}

// way is the one-way delay between a zone and an upstream.
func (m *Model) way(z *place, u *upstream.Upstream) time.Duration {
	switch {
	case z.Name == u.Zone:
		return 0
	case z.Region == u.Region:
		return m.delay.zone
	default:
		return m.delay.region
	}
}
