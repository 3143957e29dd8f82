package gateway

import (
	"context"
	"time"

	"cairndock/internal/gateway/fleet"
	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
	"cairndock/internal/poison"
)

// status is what this host's heartbeats say.
func (g *Gateway) status() fleet.Status {
	g.suspendWatch.Check() // before ages are told
	// Beside it, the proxy is not ready while the host stops or can't accept
	// clients, who should go elsewhere then.
	ready := g.state.Ready() && g.fleet.KnowsQuarantines()
	s := fleet.Status{Ready: ready, Leaving: ready && !g.proxy.Ready(), Fresh: true, Rate: g.proxy.Rate(time.Now())}
	s.Observations = g.detector.Observations(time.Now())
	s.Notices = g.notices.Reports(time.Now())
	for _, t := range g.tables {
		s = s.WithLastChange(t.Replica.LastChange())
		s.Fresh = s.Fresh && t.Replica.Age() < g.timing.MaxAge()
	}
	return s
}

// FailureSeen sends the region's hosts this host's observations out of turn.
func (g *Gateway) FailureSeen() { g.fleet.SendSoon() }

// Ejected logs that an upstream is ejected.
func (g *Gateway) Ejected(e outlier.Ejection) { g.log.Ejected(e) }

// SuspicionsChanged sends the other hosts what changed out of turn.
func (g *Gateway) SuspicionsChanged() { g.fleet.SendSoonToAll() }

// Ended has requests avoid a run of an upstream that has ended.
func (g *Gateway) Ended(run string, at time.Time) { g.detector.RecordEnded(upstream.Run(run), at) }

// Quarantined logs that a request is refused, and stores it if this host was first.
func (g *Gateway) Quarantined(q poison.Quarantine) {
	g.log.Quarantined(q)
	if q.Own {
		go g.fleet.StoreQuarantine(context.Background(), q.Report)
	}
}

// Released logs that a request is no longer refused, and removes it from the store if
// this host was first.
func (g *Gateway) Released(f poison.Fingerprint, own bool) {
	g.log.Released(f)
	if own {
		go g.fleet.RemoveQuarantine(context.Background(), f)
	}
}

// WarmUpQuota gives this host's part of the requests a second to an upstream
// that takes rate of them while it is cold. The platform allows the rate times
// WarmUpOvershoot, plus WarmUpSlack, for all hosts together.
func (g *Gateway) WarmUpQuota(upstream, region string, rate float64) warmup.Quota {
	limits := g.settings.Limits
	return g.fleet.WarmUpQuota(upstream, region, rate*limits.WarmUpOvershoot+limits.WarmUpSlack)
}

// Limited logs an upstream's limit.
func (g *Gateway) Limited(run upstream.Run, perSecond float64) { g.log.Limited(run, perSecond) }

// LimitEnded logs that an upstream has no limit any more.
func (g *Gateway) LimitEnded(run upstream.Run) { g.log.LimitEnded(run) }

// Leaves has an upstream that leaves get no new work, and other hosts hear of it out of
// turn: they may have no response of it for long.
func (g *Gateway) Leaves(run upstream.Run) {
	g.log.Leaves(run)
	g.state.MarkLeaving(run)
	g.fleet.SendSoonToAll()
}

// Rests logs that an upstream wants no request for a time, and has other hosts hear of it
// out of turn: each would be refused by it first.
func (g *Gateway) Rests(run upstream.Run, d time.Duration) {
	g.log.Rests(run, d)
	g.fleet.SendSoonToAll()
}

// LimitShare gives this host's share of a number of tokens of an upstream's limit.
func (g *Gateway) LimitShare(id, region string, tokens int) notice.Share {
	return g.fleet.LimitShare(id, region, tokens)
}

// GiveTokens gives tokens of a client account's limit to another host.
func (g *Gateway) GiveTokens(request quota.Ask) quota.Answer {
	config := g.state.Config()
	if config == nil {
		return quota.Answer{}
	}
	a, _ := config.Accounts.ByName(request.Account)
	return g.quota.Give(a, request.Tokens)
}

// clientAddresses gives the hosts that clients of a zone should use for the
// services of a name, best first.
func (g *Gateway) clientAddresses(name, zone, region string) []string {
	var allowed []string
	if config := g.state.Config(); config != nil {
		allowed = config.HostRegions(name)
	}
	return g.fleet.ClientAddresses(zone, region, allowed)
}

// registerGauges registers the gauges, which are read when metrics are.
func (g *Gateway) registerGauges() {
	g.metrics.Gauge("cairndock_requests_in_flight", func() float64 { return float64(g.proxy.InFlight()) })
	g.metrics.Gauge("cairndock_hosts_known", func() float64 { return float64(g.fleet.Hosts()) })
	g.metrics.Gauge("cairndock_host_lists_unread", func() float64 { return float64(g.fleet.UnreadLists()) })
	g.metrics.Gauge("cairndock_upstreams_known", func() float64 { return float64(g.state.Upstreams().Len()) })
	g.metrics.Gauge("cairndock_upstreams_limited", func() float64 { return float64(g.notices.Limits()) })
	g.metrics.Gauge("cairndock_requests_suspected", func() float64 { n, _ := g.suspicions.Counts(); return float64(n) })
	g.metrics.Gauge("cairndock_requests_quarantined", func() float64 { _, n := g.suspicions.Counts(); return float64(n) })
	for table, label := range tableLabels {
		replica := g.tables[table].Replica
		g.metrics.Gauge(`cairndock_table_age_seconds{table="`+label+`"}`, func() float64 { return replica.Age().Seconds() })
		g.metrics.Gauge(`cairndock_table_version{table="`+label+`"}`, func() float64 { return float64(replica.Version().Number) })
		g.metrics.Gauge(`cairndock_table_era{table="`+label+`"}`, func() float64 { return float64(replica.Version().Era) })
	}
}
