package cmd

import (
	"context"
	"errors"
	"flag"
	"io"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/fleet"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/proxy"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
	"cairndock/platform"
)

const (
	// upstreamDialTimeout bounds a connection to an upstream; one that
	// takes longer is cheaper to make elsewhere.
	upstreamDialTimeout = 500 * time.Millisecond
	// storeDialTimeout bounds a connection to the platform's store.
	storeDialTimeout = 800 * time.Millisecond
	// unacknowledged is how long sent data may go unacknowledged before
	// the connection is taken for dead.
	unacknowledged = 1200 * time.Millisecond
)

type gatewayCmd struct{ settings string }

func (*gatewayCmd) Name() string     { return "gateway" }
func (*gatewayCmd) Synopsis() string { return "run one gateway host on the users' platform" }
func (*gatewayCmd) Usage() string    { return "gateway --settings FILE\n" }
func (c *gatewayCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
}

// Execute runs the host until it is asked to stop.
func (c *gatewayCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// First of all: a request to reload must not end a process that starts.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	if c.settings == "" {
		return usage("gateway: --settings must be given")
	}
	set, err := loadGateway(c.settings)
	if err != nil {
		return fail(err)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	traces, err := telemetry.NewProvider(ctx, set.Telemetry, os.Stdout)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = traces.Shutdown(context.WithoutCancel(ctx)) }()
	node := newGatewayNode(set, os.Stdout, telemetry.Tracer(traces))
	return node.run(ctx, c.settings, signals)
}

// loadGateway reads the settings and names the faults of every section.
func loadGateway(path string) (settings.Gateway, error) {
	set, err := settings.LoadGateway(path)
	telemetry.Default(&set.Telemetry)
	var f settings.Faults
	telemetry.Check(set.Telemetry, &f)
	return set, errors.Join(append([]error{err}, f...)...)
}

// The tables that hosts watch and relay.
const (
	intentTable = iota
	upstreamTable
	tableCount
)

// tableNames are the tables' names in metrics.
var tableNames = [tableCount]string{"intent", "upstream"}

// gatewayNode is one gateway host put together.
type gatewayNode struct {
	settings  settings.Gateway
	log       *eventlog.Log
	metrics   *telemetry.Metrics
	tracer    trace.Tracer
	knowledge *routing.State
	judge     *outlier.Detector
	timing    watch.Timing
	tables    [tableCount]fleet.Table
	watchers  [tableCount]*watch.Watcher
	fleet     *fleet.Fleet
	gateway   *proxy.Proxy
	server    *proxy.Server
}

func newGatewayNode(set settings.Gateway, out io.Writer, tracer trace.Tracer) *gatewayNode {
	n := &gatewayNode{settings: set, metrics: telemetry.NewMetrics(), tracer: tracer}
	n.timing = watch.TimingFor(set.Limits.Staleness())
	n.log = eventlog.New(out, set.Host.Name, zerolog.InfoLevel, n.metrics)
	n.judge = outlier.New(n)
	n.knowledge = routing.New(platform.Decoder{Zones: set.Zones}, n.log, n.metrics)
	store := platform.NewStore(set.Store.Address, dialer(storeDialTimeout).DialContext)
	n.tables[intentTable] = fleet.Table{Replica: watch.NewReplica(), Store: platform.OperatorTable(store)}
	n.tables[upstreamTable] = fleet.Table{Replica: watch.NewReplica(), Store: platform.UpstreamTable(store)}
	n.fleet = fleet.New(fleet.Options{
		Self: fleet.Host{
			Name: set.Host.Name, Zone: set.Host.Zone, Region: set.Host.Region,
			PeerAddress: set.Listen.Peers, ClientAddress: set.Listen.Callers, Incarnation: ulid.Make().String(),
		},
		Registry: platform.Registry{Store: store}, Report: n.log, Observations: n.judge, Status: n.status,
		Seeds: set.PeerSeeds(), Transport: fleet.TCP{Dialer: dialer(storeDialTimeout)},
		Tables: n.tables[:], MaxAge: n.timing.MaxAge,
	})
	n.watch(intentTable, routing.OperatorSink{State: n.knowledge})
	n.watch(upstreamTable, routing.UpstreamSink{State: n.knowledge})
	n.gateway = n.newGateway()
	n.server = proxy.NewServer(n.gateway)
	n.registerGauges()
	return n
}

// registerGauges registers the figures that are read when metrics are.
func (n *gatewayNode) registerGauges() {
	n.metrics.Gauge("cairndock_requests_in_flight", func() float64 { return float64(n.gateway.InFlight()) })
	n.metrics.Gauge("cairndock_hosts_known", func() float64 { return float64(n.fleet.Hosts()) })
	n.metrics.Gauge("cairndock_upstreams_known", func() float64 { return float64(n.knowledge.Set().Len()) })
	for table, name := range tableNames {
		n.metrics.Gauge(`cairndock_table_age_seconds{table="`+name+`"}`, func() float64 { return n.tables[table].Replica.Age().Seconds() })
		n.metrics.Gauge(`cairndock_table_version{table="`+name+`"}`, func() float64 { return float64(n.tables[table].Replica.Version()) })
	}
}

// watch makes the watcher of a table.
func (n *gatewayNode) watch(table int, sink watch.Sink) {
	route := func() []watch.NamedSource { return n.fleet.Sources(table) }
	newest := func() (int64, time.Duration) { return n.fleet.NewestKnown(table) }
	n.watchers[table] = watch.New(n.tables[table].Replica, route, newest, sink, n.timing)
}

func dialer(timeout time.Duration) exchange.Dialer {
	return exchange.Dialer{Timeout: timeout, Unacknowledged: unacknowledged}
}

func (n *gatewayNode) newGateway() *proxy.Proxy {
	l := n.settings.Limits
	place := balance.Location{Zone: n.settings.Host.Zone, Region: n.settings.Host.Region, Regions: n.settings.Regions()}
	shares := coldShares{fleet: n.fleet, overshoot: l.WarmUpOvershoot, slack: l.WarmUpSlack}
	pool := exchange.NewPool(dialer(upstreamDialTimeout).DialContext)
	return proxy.New(proxy.Options{
		State:    n.knowledge,
		Balancer: balance.New(place, balance.DefaultWeights, shares, n.judge),
		Detector: n.judge,
		Budget:   retry.NewBudget(retry.Limits{Ratio: l.RetryRatio, Window: time.Duration(l.RetryWindow), Slack: l.RetrySlack}),
		Client:   exchange.NewClient(pool, platform.Protocol{}),
		Codec:    platform.Codec{},
		Hosts:    n.fleet,
		Ages:     proxy.Ages{Config: n.tables[intentTable].Replica.Age, Upstreams: n.tables[upstreamTable].Replica.Age},
		Log:      n.log,
		Metrics:  n.metrics,
		Tracer:   n.tracer,
	})
}

// coldShares turns an upstream's rate into what all hosts may send together.
type coldShares struct {
	fleet     *fleet.Fleet
	overshoot float64
	slack     float64
}

// ColdRate gives this host's part.
func (s coldShares) WarmUpQuota(upstream, region string, rate float64) int {
	return s.fleet.WarmUpQuota(upstream, region, rate*s.overshoot+s.slack)
}

// Suspected tells the region's hosts soon what was seen of an upstream.
func (n *gatewayNode) FailureSeen() { n.fleet.SendSoon() }

// Ejected logs that an upstream is avoided.
func (n *gatewayNode) Ejected(f outlier.Ejection) { n.log.Ejected(f) }

// status is what heartbeats tell of this host.
func (n *gatewayNode) status() fleet.Status {
	s := fleet.Status{Ready: n.knowledge.Ready(), Leaving: !n.gateway.Ready() && n.knowledge.Ready()}
	s.Observations = n.judge.Observations(time.Now())
	s.Fresh = true
	for _, t := range n.tables {
		s.Changes = append(s.Changes, t.Replica.LastChange())
		s.Fresh = s.Fresh && t.Replica.Age() < n.timing.MaxAge
	}
	return s
}

// entries gives the hosts that callers of a zone should use.
func (n *gatewayNode) entries(name, zone, region string) []string {
	var allowed []string
	if t := n.knowledge.Table(); t != nil {
		allowed = t.HostRegions(name)
	}
	return n.fleet.ClientAddresses(zone, region, allowed)
}

func (n *gatewayNode) listen() error {
	l := n.settings.Listen
	if err := n.server.ListenClients(l.Callers); err != nil {
		return err
	}
	if err := n.server.Listen(l.Readiness, platform.Readiness(n.gateway.Ready)); err != nil {
		return err
	}
	ttl := time.Duration(n.settings.Limits.DirectoryTTL)
	if err := n.server.Listen(l.Directory, platform.Directory(ttl, n.entries)); err != nil {
		return err
	}
	if l.Metrics == "" {
		return nil
	}
	return n.server.Listen(l.Metrics, n.figures())
}

// figures serves the metrics, and profiles for those who look for what holds
// memory or time.
func (n *gatewayNode) figures() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { n.metrics.Write(w) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

func (n *gatewayNode) run(ctx context.Context, path string, signals <-chan os.Signal) subcommands.ExitStatus {
	defer n.log.Close()
	n.log.Process("start", "zone "+n.settings.Host.Zone)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, w := range n.watchers {
		go w.Run(ctx)
	}
	if err := n.fleet.Start(ctx); err != nil {
		return fail(err)
	}
	go n.gateway.Run(ctx)
	if err := n.listen(); err != nil {
		return fail(err)
	}
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reload(path)
				continue
			}
			return n.stop(ctx)
		case err := <-n.server.Failed():
			return fail(err)
		}
	}
}

// reload checks the settings anew. What they set holds from the next start;
// a faulty file changes nothing.
func (n *gatewayNode) reload(path string) {
	if _, err := loadGateway(path); err != nil {
		n.log.Process("reload", "refused: "+err.Error())
		return
	}
	n.log.Process("reload", "settings are sound")
}

func (n *gatewayNode) stop(ctx context.Context) subcommands.ExitStatus {
	n.log.Process("stop", "asked to")
	n.gateway.Drain()
	go n.fleet.Withdraw(ctx)
	cut := n.server.Stop(ctx, time.Duration(n.settings.Stop.Grace))
	n.server.Close()
	if cut > 0 {
		n.log.Process("stopped", "requests were cut")
		return subcommands.ExitFailure
	}
	n.log.Process("stopped", "nothing was cut")
	return subcommands.ExitSuccess
}
