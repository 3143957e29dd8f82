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
	"cairndock/internal/peer"
	"cairndock/internal/poison"
)

// status returns the status that this host's heartbeats report.
func (g *Gateway) status() fleet.Status {
	g.suspendWatch.Check() // before ages are reported
	// A host whose data is ready but whose proxy is not is stopping or can't accept
	// clients. Clients should then use other hosts.
	ready := g.state.Ready() && g.fleet.KnowsQuarantines()
	s := fleet.Status{Ready: ready, Leaving: ready && !g.proxy.Ready(), Fresh: true, Rate: g.proxy.Rate(time.Now())}
	s.QuarantinesUnknown = !g.fleet.QuarantinesLearned()
	s.TakesIndirect = s.Ready && !s.Leaving && !g.reach.Isolated()
	if !g.reach.Suspected() {
		s.Observations = g.detector.Observations(time.Now())
	}
	s.Notices = g.notices.Reports(time.Now())
	for table, t := range g.tables {
		s = s.WithLastChange(t.Replica.LastChange())
		// The table of roll-outs is not watched before the first order.
		s.Fresh = s.Fresh && (table == rolloutTable || t.Replica.Age() < g.timing.MaxAge())
	}
	return s
}

// ServeIndirect serves a request that a host without a path to upstreams sends to this one.
func (g *Gateway) ServeIndirect(ctx context.Context, from string, payload []byte, w *peer.Responder) {
	g.proxy.ServeIndirect(ctx, from, payload, w)
}

// FailureSeen sends this host's observations to the hosts of its region without waiting
// for the next heartbeat.
func (g *Gateway) FailureSeen() { g.fleet.TriggerHeartbeats() }

// Ejected logs the ejection of an upstream.
func (g *Gateway) Ejected(e outlier.Ejection) { g.log.Ejected(e) }

// SuspicionsChanged sends the changes to the other hosts without waiting for the next
// heartbeat.
func (g *Gateway) SuspicionsChanged() { g.fleet.TriggerAllHeartbeats() }

// UpstreamTerminated makes requests avoid a run of an upstream that has terminated.
func (g *Gateway) UpstreamTerminated(run string, at time.Time) {
	g.detector.RecordTermination(upstream.Run(run), at)
}

// Quarantined logs that a request is quarantined, and stores the quarantine if this host
// is responsible for that.
func (g *Gateway) Quarantined(q poison.Quarantine) {
	g.log.Quarantined(q)
	g.fleet.StoreQuarantines()
}

// Released logs that a request is no longer quarantined, and removes the quarantine from
// the store if this host was the first to release it.
func (g *Gateway) Released(f poison.Fingerprint, own bool) {
	g.log.Released(f)
	if own {
		go g.fleet.RemoveQuarantine(context.Background(), f)
	}
}

// WarmUpQuota returns this host's share of the requests per second to an upstream that
// accepts rate requests per second while it is cold. The platform allows rate times
// WarmUpOvershoot, plus WarmUpSlack, for all hosts together.
func (g *Gateway) WarmUpQuota(upstream, region string, rate float64) warmup.Quota {
	limits := g.settings.Limits
	return g.fleet.WarmUpQuota(upstream, region, rate*limits.WarmUpOvershoot+limits.WarmUpSlack)
}

// LimitChanged logs the limit of an upstream.
func (g *Gateway) LimitChanged(run upstream.Run, perSecond float64) {
	g.log.LimitChanged(run, perSecond)
}

// LimitEnded logs that an upstream no longer has a limit.
func (g *Gateway) LimitEnded(run upstream.Run) { g.log.LimitEnded(run) }

// LeavingAnnounced marks an upstream as leaving, so that it receives no new requests. It notifies
// the other hosts without waiting for the next heartbeat, because they may not receive a
// response of the upstream for a long time.
func (g *Gateway) LeavingAnnounced(run upstream.Run) {
	g.log.LeavingAnnounced(run)
	g.state.MarkLeaving(run)
	g.fleet.TriggerAllHeartbeats()
}

// BackoffRequested logs that an upstream requested a backoff. It notifies the other hosts without
// waiting for the next heartbeat, because the upstream would refuse a request of each of
// them otherwise.
func (g *Gateway) BackoffRequested(run upstream.Run, d time.Duration) {
	g.log.BackoffRequested(run, d)
	g.fleet.TriggerAllHeartbeats()
}

// LimitShare returns this host's share of a number of tokens of an upstream's limit.
func (g *Gateway) LimitShare(id, region string, tokens int) notice.Share {
	return g.fleet.LimitShare(id, region, tokens)
}

// GrantTokens grants tokens of a client account's limit to another host.
func (g *Gateway) GrantTokens(request quota.TokenRequest) quota.TokenResponse {
	config := g.state.Config()
	if config == nil {
		return quota.TokenResponse{}
	}
	a, _ := config.Accounts.ByName(request.Account)
	return g.quota.Grant(a, request.Tokens)
}

// clientAddresses returns the hosts that clients of a zone should use for the services
// of a name, best first.
func (g *Gateway) clientAddresses(name, zone, region string) []string {
	var allowed []string
	if config := g.state.Config(); config != nil {
		allowed = config.HostRegions(name)
	}
	return g.fleet.ClientAddresses(zone, region, allowed)
}

// isolatedGauge returns 1 while this host reaches no upstream, otherwise 0.
func (g *Gateway) isolatedGauge() float64 {
	if g.reach.Isolated() {
		return 1
	}
	return 0
}

// registerGauges registers the gauges, whose values are computed when the metrics are
// read.
func (g *Gateway) registerGauges() {
	g.metrics.Gauge("cairndock_requests_in_flight", func() float64 { return float64(g.proxy.InFlight()) })
	g.metrics.Gauge("cairndock_request_bodies_bytes", func() float64 { return float64(g.proxy.Bodies.Held()) })
	g.metrics.Gauge("cairndock_connections_open", func() float64 { return float64(g.server.Connections().Conns) })
	g.metrics.Gauge("cairndock_connections_bytes", func() float64 { return float64(g.server.Connections().Bytes) })
	g.metrics.Gauge("cairndock_hosts_known", func() float64 { return float64(g.fleet.Hosts()) })
	g.metrics.Gauge("cairndock_host_lists_unread", func() float64 { return float64(g.fleet.UnreadLists()) })
	g.metrics.Gauge("cairndock_isolated", g.isolatedGauge)
	g.metrics.Gauge("cairndock_upstreams_known", func() float64 { return float64(g.state.Upstreams().Len()) })
	g.metrics.Gauge("cairndock_upstreams_limited", func() float64 { return float64(g.notices.Limits()) })
	g.metrics.Gauge("cairndock_requests_suspected", func() float64 { n, _ := g.suspicions.Counts(); return float64(n) })
	g.metrics.Gauge("cairndock_requests_quarantined", func() float64 { _, n := g.suspicions.Counts(); return float64(n) })
	g.metrics.Gauge("cairndock_rollouts_running", func() float64 { return float64(g.rollouts.Running()) })
	for table, label := range tableLabels {
		replica := g.tables[table].Replica
		g.metrics.Gauge(`cairndock_table_age_seconds{table="`+label+`"}`, func() float64 { return replica.Age().Seconds() })
		g.metrics.Gauge(`cairndock_table_version{table="`+label+`"}`, func() float64 { return float64(replica.Version().Number) })
		g.metrics.Gauge(`cairndock_table_era{table="`+label+`"}`, func() float64 { return float64(replica.Version().Era) })
	}
}
