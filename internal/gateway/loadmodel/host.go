package loadmodel

import (
	"strconv"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
	"cairndock/internal/verdict"
)

// heartbeatInterval is the interval at which the hosts of a region exchange observed
// failures (package fleet).
const heartbeatInterval = 800 * time.Millisecond

// host is one simulated host. Its decisions are made by the real code of a gateway.
type host struct {
	model    *Model
	name     string
	zone     *zoneState
	variant  Variant
	balancer *balance.Balancer
	detector *outlier.Detector
	budget   *retry.Budget
	// tables and controllers are those of the roll-outs that were ordered.
	tables      map[*rolloutSim]*rollout.Table
	controllers map[*rolloutSim]*rollout.Controller
	lost        bool
}

// unlimitedQuotas grants unlimited warm-up quotas, because the simulated upstreams
// never become cold.
type unlimitedQuotas struct{}

// WarmUpQuota implements balance.WarmUpQuotas.
func (unlimitedQuotas) WarmUpQuota(string, string, float64) warmup.Quota { return warmup.Quota{} }

// discardReporter is an outlier.Reporter that does nothing, because simulated hosts
// send their observations with the next heartbeat.
type discardReporter struct{}

// FailureSeen implements outlier.Reporter.
func (discardReporter) FailureSeen() {}

// Ejected implements outlier.Reporter.
func (discardReporter) Ejected(outlier.Ejection) {}

func newHost(m *Model, z *zoneState, number int, v Variant) *host {
	h := &host{model: m, name: z.Name + "-" + strconv.Itoa(number), zone: z, variant: v}
	h.restart()
	return h
}

// restart discards the state of the host. The new retry budget is that of a process
// that has run for one window.
func (h *host) restart() {
	m := h.model
	h.detector = outlier.New(discardReporter{})
	h.balancer = balance.New(balance.Location{Zone: h.zone.Name, Region: h.zone.Region, Regions: len(m.regions)}, unlimitedQuotas{}, h.detector, h.variant.Balance)
	h.budget = retry.NewBudget(m.limits, m.clock.now.Add(-m.limits.Window), 0)
	h.tables, h.controllers = map[*rolloutSim]*rollout.Table{}, map[*rolloutSim]*rollout.Controller{}
	h.orderRollouts()
}

// serve handles a call that arrives at the host.
func (h *host) serve(c *call) {
	now := h.model.clock.now
	req := &request{host: h, call: c, startedAt: now}
	h.budget.RecordRequest(c.route.Service, now)
	choice, reason := req.chooseUpstream()
	if reason != balance.Chosen {
		req.refuse(verdictReason(reason))
		return
	}
	req.timeout = h.model.clock.after(req.timeLimit(), req.timeOut)
	req.start(choice)
}

// retryDelay returns the delay after which a refused client should retry.
func (h *host) retryDelay(reason verdict.Reason) time.Duration {
	delay := retry.After(verdict.NotRun, reason)
	if h.variant.MinRetryDelay > 0 {
		delay = retry.Delay{Min: time.Duration(h.variant.MinRetryDelay), Jitter: time.Duration(h.variant.RetryJitter)}
	}
	return delay.Min + time.Duration(h.model.random.Float64()*float64(delay.Jitter))
}

// verdictReason returns the reason reported for a call if no upstream was chosen.
func verdictReason(r balance.Reason) verdict.Reason {
	switch r {
	case balance.NoUpstream:
		return verdict.NoUpstream
	case balance.WarmUpLimited:
		return verdict.Warming
	default:
		return verdict.Full
	}
}

// heartbeat sends the observed failures to the other hosts of the region.
func (h *host) heartbeat() {
	if h.lost {
		return
	}
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

// The hosts of a zone exchange at most maxZoneReports load reports in one message, of
// zoneReportBytes each: a hash of the run, the requests and the age.
const (
	maxZoneReports  = 256
	zoneReportBytes = 16
)

// shareReports sends the load reports that the host received since its last message to the
// other hosts of its zone.
func (h *host) shareReports() {
	if h.lost {
		return
	}
	now := h.model.clock.now
	reports := h.balancer.LoadReports(heartbeatInterval, now)
	reports = reports[:min(len(reports), maxZoneReports)]
	if len(reports) == 0 {
		return
	}
	for _, other := range h.zone.hosts {
		if other != h && other.variant.ZoneReports {
			other.balancer.MergeLoadReports(reports, now)
			h.model.result.reportsSent(len(reports))
		}
	}
}

// oneWayDelay returns the one-way network delay between a zone and an upstream.
func (m *Model) oneWayDelay(z *zoneState, u *upstream.Upstream) time.Duration {
	switch {
	case z.Name == u.Zone:
		return 0
	case z.Region == u.Region:
		return m.delay.zone
	default:
		return m.delay.region
	}
}
