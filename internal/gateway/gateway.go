package gateway

import (
	"context"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/dial"
	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/fleet"
	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/proxy"
	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/reach"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/poison"
	"cairndock/internal/suspend"
	"cairndock/internal/telemetry"
	"cairndock/platform"
)

// ErrAborted reports that a planned stop aborted requests before their responses
// arrived. The log records this too.
var ErrAborted = eris.New("requests were aborted at the stop")

// Gateway is one gateway host.
type Gateway struct {
	settings Settings
	// incarnation is unique to each start of the host's process.
	incarnation string

	log     *eventlog.Log
	metrics *telemetry.Metrics
	tracer  trace.Tracer

	state    *routing.State
	notices  *notice.Table
	detector *outlier.Detector
	// suspicions tracks requests under which upstreams terminated.
	suspicions   *poison.Table
	suspendWatch *suspend.Watch
	reach        *reach.Monitor
	balancer     *balance.Balancer
	rollouts     *rollout.Table
	controller   *rollout.Controller
	// rolloutOrdered is closed when the first roll-out is ordered.
	rolloutOrdered chan struct{}
	timing         watch.Timing
	tables         [tableCount]fleet.Table
	watchers       [tableCount]*watch.Watcher
	fleet          *fleet.Fleet
	quota          *quota.Limiter
	proxy          *proxy.Proxy
	// dialUpstream opens connections to upstreams.
	dialUpstream exchange.Dial
	server       *proxy.Server
}

// Option changes how a Gateway is assembled.
type Option func(*Gateway)

// WithUpstreamDial replaces the function that opens connections to upstreams.
func WithUpstreamDial(d exchange.Dial) Option { return func(g *Gateway) { g.dialUpstream = d } }

// New returns a host that writes its log to out. Call Run to start it.
func New(set Settings, out io.Writer, tracer trace.Tracer, options ...Option) *Gateway {
	g := &Gateway{settings: set, incarnation: ulid.Make().String(), metrics: telemetry.NewMetrics(), tracer: tracer}
	g.dialUpstream = dial.New(UpstreamDialTimeout).DialContext
	for _, o := range options {
		o(g)
	}
	g.timing = watch.Timing(set.Limits.Staleness())
	g.log = eventlog.New(out, eventlog.Options{
		Host: set.Host.Name, Zone: set.Host.Zone, Level: telemetry.Level(set.Telemetry.LogLevel),
		Sampling: set.Log.sampling(), Metrics: g.metrics,
	})
	g.detector = outlier.New(g)
	g.suspendWatch = suspend.NewWatch(suspend.Machine{})
	g.suspicions = poison.NewTable(g.incarnation, time.Now(), g)
	g.state = routing.New(platform.Decoder{Zones: set.Zones}, g.log, g.metrics)
	store := platform.NewStore(set.Store.Address, dial.New(storeDialTimeout).DialContext)
	g.tables[operatorTable] = fleet.Table{Replica: watch.NewReplica(), Store: platform.OperatorTable(store)}
	g.tables[upstreamTable] = fleet.Table{Replica: watch.NewReplica(), Store: platform.UpstreamTable(store)}
	g.tables[rolloutTable] = fleet.Table{Replica: watch.NewReplica(), Store: platform.RolloutTable(store)}
	g.notices = notice.NewTable(set.Host.Name, g, g)
	g.rollouts = g.newRollouts()
	g.state.UseRollouts(g.rollouts, g.tables[operatorTable].Replica.Version)
	g.fleet = g.newFleet(store)
	g.quota = g.newQuota()
	g.watchers[operatorTable] = g.newWatcher(operatorTable, g.state.OperatorSink())
	g.watchers[upstreamTable] = g.newWatcher(upstreamTable, g.state.UpstreamSink())
	g.watchers[rolloutTable] = g.newWatcher(rolloutTable, g.state.RolloutSink())
	g.controller = g.newController(store)
	g.proxy = g.newProxy(time.Now())
	g.server = proxy.NewServer(g.proxy, set.Resources.Limits())
	g.watchSuspension()
	g.registerGauges()
	return g
}

// Run serves requests until SIGTERM or SIGINT, and then performs a planned stop. SIGHUP
// validates the settings file at path. The error is ErrAborted if the stop aborted
// requests, otherwise the failure of a listener or of the start.
func (g *Gateway) Run(ctx context.Context, path string, signals <-chan os.Signal) error {
	defer g.log.Close()
	g.log.Process("start", "zone "+g.settings.Host.Zone)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.watchers[operatorTable].Run(ctx)
	go g.watchers[upstreamTable].Run(ctx)
	go g.runRollouts(ctx)
	if err := g.fleet.Start(ctx); err != nil {
		return err
	}
	go g.proxy.CleanUp(ctx)
	go g.reach.Run(ctx)
	if err := g.listen(); err != nil {
		return err
	}
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				g.reload(path)
				continue
			}
			return g.stop(ctx)
		case err := <-g.server.Failed():
			return err
		}
	}
}

// reload validates the settings file. Changed settings apply from the next start; an
// invalid file has no effect.
func (g *Gateway) reload(path string) {
	if _, err := LoadSettings(path); err != nil {
		g.log.Process("reload", "refused: "+err.Error())
		return
	}
	g.log.Process("reload", "settings are valid and apply from the next start")
}

// stop drains the host: the other hosts stop listing it for clients, and requests in
// flight are completed within the grace period.
func (g *Gateway) stop(ctx context.Context) error {
	g.log.Process("stop", "signal received, draining")
	g.proxy.Leave() // before Withdraw, whose heartbeat reports the host as leaving
	go g.fleet.Withdraw(ctx)
	aborted := g.server.Stop(ctx, time.Duration(g.settings.Stop.Grace))
	g.server.Close()
	g.proxy.Client.CloseIdle()
	if aborted > 0 {
		g.log.Process("stopped", "requests were aborted")
		return ErrAborted
	}
	g.log.Process("stopped", "all requests got a response")
	return nil
}
