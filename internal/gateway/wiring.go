package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/dial"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/fleet"
	"cairndock/internal/gateway/proxy"
	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/reach"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
	"cairndock/internal/requestbody"
	"cairndock/platform"
)

// The tables of the platform's store that hosts watch and relay. The numbers are part of
// the peer protocol.
const (
	operatorTable = iota
	upstreamTable
	// rolloutTable is watched only from the first order of a roll-out on.
	rolloutTable
	tableCount
)

// tableLabels are the labels of the tables in metrics.
var tableLabels = [tableCount]string{routing.OperatorTable, routing.UpstreamTable, routing.RolloutTable}

const (
	// UpstreamDialTimeout is the timeout of a new connection to an upstream. It is far
	// above the longest round trip, 70 ms between regions, and below the 1 s after which
	// clients try another host.
	UpstreamDialTimeout = 500 * time.Millisecond
	// storeDialTimeout is the timeout of a new connection to the store or to a peer,
	// which may be slower than an upstream.
	storeDialTimeout = 800 * time.Millisecond
)

func (g *Gateway) newFleet(store *platform.Store) *fleet.Fleet {
	host, listen := g.settings.Host, g.settings.Listen
	resources := g.settings.Resources.capacity()
	o := fleet.Options{
		Self: fleet.Host{
			Name: host.Name, Zone: host.Zone, Region: host.Region, PeerAddress: listen.Peers, ClientAddress: listen.Callers,
			Incarnation: g.incarnation,
			Capacity:    resources.Capacity(),
		},
		Regions: g.settings.regions(), Zones: g.settings.Zones, Tokens: g, Indirect: g, Rollouts: g.rollouts, Registry: platform.Registry{Store: store, Log: g.log}, Report: g.log, Observations: g.detector, Notices: g.notices, Suspicions: g.suspicions,
		Status: g.status, Seeds: g.settings.peerSeeds(), FirstStart: g.settings.FirstStart, Transport: peer.TCP(dial.New(storeDialTimeout).DialContext),
		Tables: g.tables[:], MaxAge: g.timing.MaxAge(), Metrics: g.metrics,
	}
	if g.settings.Balance.EvenLoad {
		o.Loads = &zoneLoads{gateway: g}
	}
	return fleet.New(o)
}

func (g *Gateway) newQuota() *quota.Limiter {
	host, limits := g.settings.Host, g.settings.Limits
	return quota.NewLimiter(quota.Options{
		Host: host.Name, Zone: host.Zone, Region: host.Region, Hosts: g.fleet, Metrics: g.metrics,
		Bound: quota.Bound{Window: time.Duration(limits.QuotaWindow), Overshoot: limits.QuotaOvershoot, Slack: limits.QuotaSlack},
	})
}

// newWatcher returns the watcher that keeps a table's replica up to date.
func (g *Gateway) newWatcher(table int, sink watch.Sink) *watch.Watcher {
	sources := func() []watch.NamedSource { return g.fleet.Sources(table) }
	newest := func() (watch.Version, time.Duration) { return g.fleet.NewestKnown(table) }
	return watch.New(g.tables[table].Replica, sources, newest, sink, g.timing)
}

func (g *Gateway) newProxy(started time.Time) *proxy.Proxy {
	limits := g.settings.Limits
	client := exchange.NewClient(g.dialUpstream, platform.Protocol{Metrics: g.metrics, Unread: &platform.UnreadHeaders{}})
	client.LimitResponses(limits.responses())
	client.OnSilent(func(connections int) { g.metrics.Add("cairndock_silent_connections_total", connections) })
	g.reach = g.newReach(client)
	client.ConfirmTerminations(func() bool { return !g.reach.Check() })
	location := balance.Location{Zone: g.settings.Host.Zone, Region: g.settings.Host.Region, Regions: len(g.settings.regions())}
	g.balancer = balance.New(location, g, g.detector, g.settings.Balance.policy())
	g.balancer.HonorNotices(g.notices)
	return proxy.New(proxy.Options{
		State:        g.state,
		Balancer:     g.balancer,
		Notices:      g.notices,
		Rollouts:     g.rollouts,
		Detector:     g.detector,
		Budget:       retry.NewBudget(retry.Limits{Ratio: limits.RetryRatio, Window: time.Duration(limits.RetryWindow), Slack: limits.RetrySlack}, started, rand.Float64()),
		Suspicions:   g.suspicions,
		Reach:        g.reach,
		SuspendWatch: g.suspendWatch,
		Client:       client,
		Bodies:       requestbody.NewBuffers(g.settings.Resources.Limits().BodiesBytes()),
		Codec:        platform.Codec{Metrics: g.metrics},
		SlackShare:   g.fleet.CommonShare,
		Peers:        g.fleet,
		Location:     location,
		Capacity:     g.settings.Resources.capacity().Capacity(),
		Quota:        g.quota,
		MaxKeyAge:    limits.maxKeyAge(),
		ConfigAge:    g.tables[operatorTable].Replica.Age,
		UpstreamsAge: g.tables[upstreamTable].Replica.Age,
		Log:          g.log,
		Metrics:      g.metrics,
		Tracer:       g.tracer,

		KnowsQuarantines: g.fleet.KnowsQuarantines,
		RefusesSuspected: g.fleet.RefusesSuspected,
	})
}

// newReach returns the monitor of the path to the upstreams. Its connections are kept by the
// client.
func (g *Gateway) newReach(client *exchange.Client) *reach.Monitor {
	return reach.New(reach.Options{
		Upstreams: func() []*upstream.Upstream { return g.state.Upstreams().Serving() },
		Connect: func(ctx context.Context, u *upstream.Upstream) error {
			return client.Connect(ctx, exchange.Target{Upstream: u.ID, Run: u.Run(), Address: u.Address})
		},
		Report: reachReporter{g},
	})
}

// reachReporter logs when the host loses its path to the upstreams, and when it has it again.
// The failures that the host observed until then must not count against upstreams. It tells
// the other hosts without waiting for the next heartbeat, because they send requests
// through this one only while it has the path.
type reachReporter struct{ gateway *Gateway }

func (r reachReporter) Lost(kind, name string, err error) {
	r.gateway.log.Lost(kind, name, err)
	r.gateway.detector.DropOwn()
	r.gateway.fleet.TriggerAllHeartbeats()
}

func (r reachReporter) Regained(kind, name string, after time.Duration) {
	r.gateway.log.Regained(kind, name, after)
	r.gateway.fleet.TriggerAllHeartbeats()
}

// watchSuspension registers the functions that correct data with an age after the machine
// was suspended. All other data is left unchanged, which errs on the safe side: spent
// shares of limits count for longer, and ejections and warm-up end later.
func (g *Gateway) watchSuspension() {
	for _, f := range []func(time.Duration){
		g.tables[operatorTable].Replica.Suspended, g.tables[upstreamTable].Replica.Suspended, g.tables[rolloutTable].Replica.Suspended, g.fleet.Suspended,
		g.detector.Suspended, g.notices.Suspended, g.proxy.Balancer.Suspended, g.proxy.Client.Suspended, g.quota.Suspended, g.suspicions.Suspended, g.log.Suspended, peer.Suspended,
	} {
		g.suspendWatch.OnGap(f)
	}
}
