package gateway

import (
	"context"
	"time"

	"cairndock/internal/gateway/fleet"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/upstream"
	"cairndock/platform"
)

// newRollouts returns the table of roll-outs.
func (g *Gateway) newRollouts() *rollout.Table {
	g.rolloutOrdered = make(chan struct{})
	t := rollout.NewTable(rollout.TableOptions{
		HostID:   fleet.HostID(fleet.Host{Name: g.settings.Host.Name, Incarnation: g.incarnation}),
		Fresh:    g.knowsRollouts,
		Isolated: func() bool { return g.fleet.Isolated() },
		LostPath: func(since time.Time) bool { return g.reach.IsolatedSince(since) },
		InFlight: g.inFlightAtOthers,
		Observer: g.log,
	})
	t.OnFirstOrder(func() { close(g.rolloutOrdered) })
	return t
}

// newController returns the controller of roll-outs.
func (g *Gateway) newController(store *platform.Store) *rollout.Controller {
	limits := g.settings.Limits
	return rollout.NewController(rollout.ControllerOptions{
		Table: g.rollouts, Store: platform.Rollouts{Store: store, Log: g.log}, Hosts: g.fleet,
		Region: g.settings.Host.Region, Regions: g.settings.regions(),
		Upstreams: g.state.Upstreams, MaxRequest: g.maxRequest,
		Limits: rollout.Limits{Fraction: limits.CanaryShare, Slack: limits.CanarySlack},
	})
}

// runRollouts watches the progress of roll-outs and takes part in them, from the first order
// on, until the context ends. Without orders, the table costs no calls of the store.
func (g *Gateway) runRollouts(ctx context.Context) {
	select {
	case <-g.rolloutOrdered:
	case <-ctx.Done():
		return
	}
	go g.watchers[rolloutTable].Run(ctx)
	g.controller.Run(ctx)
}

// knowsRollouts reports whether this host's copies of the orders and of the progress of
// roll-outs are recent.
func (g *Gateway) knowsRollouts() bool {
	return g.tables[operatorTable].Replica.Age() < time.Duration(g.timing) && g.tables[rolloutTable].Replica.Age() < time.Duration(g.timing)
}

// inFlightAtOthers returns the number of requests in flight at the upstreams of a service
// with other versions than the given one.
func (g *Gateway) inFlightAtOthers(service, version string) int {
	return g.balancer.InFlight(func(u *upstream.Upstream) bool { return u.Service == service && u.SoftwareVersion != version })
}

// maxRequest returns the longest time that a request of a service may take; zero if a route
// sets no limit.
func (g *Gateway) maxRequest(service string) time.Duration {
	config := g.state.Config()
	if config == nil {
		return 0
	}
	return config.MaxTimeout(service)
}
