package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/peer"
	"cairndock/internal/poison"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/admission"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/entry/directory"
	"cairndock/internal/selector/entry/dispatch"
	"cairndock/internal/selector/entry/drain"
	"cairndock/internal/selector/entry/fence"
	"cairndock/internal/selector/entry/forward"
	"cairndock/internal/selector/entry/heartbeats"
	"cairndock/internal/selector/entry/links"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/platformcalls"
	"cairndock/internal/selector/entry/rosters"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/entry/tickets"
	"cairndock/internal/selector/entry/upstreams"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/upstream"
	"cairndock/internal/suspend"
	"cairndock/internal/telemetry"
)

// Options are what a Host is made of.
type Options struct {
	Settings servesettings.Settings
	Table    config.Table
	Objects  config.Objects
	Hosts    rosters.HostLister
	// Transport carries connections between hosts.
	Transport peer.Transport
	// DialUpstream makes connections to upstreams; nil is TCP.
	DialUpstream upstream.DialFunc
	// StopClients ends the clients' connections: it takes no new ones, waits
	// until each request in flight has its response, aborts what is left when
	// ctx ends, and returns how many requests it cut. It is nil where the host
	// has no listener for clients.
	StopClients func(ctx context.Context) int64
	// SuspendClock tells for how long the machine was suspended; nil is this machine's.
	SuspendClock suspend.Clock
	Log          zerolog.Logger
	Traces       trace.TracerProvider
	// Seed makes the host's random choices repeatable.
	Seed uint64
}

// Host is one entry host.
type Host struct {
	opts         Options
	zone         string
	incarnation  string
	made         time.Time
	suspendWatch *suspend.Watch
	log          zerolog.Logger
	tracer       trace.Tracer
	metrics      *telemetry.Metrics
	random       *lockedRand
	mesh         *peer.Mesh
	client       *upstream.Client

	// What the host knows, and what it may use by that.
	peers      *peers.Table
	services   *services.Set
	config     *configsync.Replica
	rosters    *rosters.Membership
	upstreams  *upstreams.Tracker
	heartbeats *heartbeats.Exchanger
	fence      *fence.Fence
	// suspicions are of requests that end upstreams.
	suspicions *poison.Table
	platform   *platformcalls.Caller

	// The way of a request.
	admission *admission.Admitter
	forward   *forward.Forwarder
	dispatch  *dispatch.Dispatcher
	tickets   *tickets.Issuer
	links     *links.Links

	// What operators and clients ask for beside it.
	directory *directory.Directory
	drain     *drain.Counter

	serving atomic.Bool
	leaving atomic.Bool
	// inFlight counts the requests of clients and of other hosts, and ofClients
	// those of clients alone.
	inFlight  atomic.Int64
	ofClients atomic.Int64
	wake      chan struct{}

	stop context.CancelFunc
	wait sync.WaitGroup
}

// New makes a host. Its settings must have been prepared.
func New(o Options) *Host {
	s := o.Settings
	h := &Host{
		opts:         o,
		zone:         s.Host.Zone,
		incarnation:  rosters.NewIncarnation(),
		made:         time.Now(),
		suspendWatch: suspend.NewWatch(cmp.Or[suspend.Clock](o.SuspendClock, suspend.Machine{})),
		log:          o.Log.With().Str("host", s.Host.Name).Logger(),
		tracer:       telemetry.Tracer(o.Traces),
		metrics:      telemetry.NewMetrics(),
		random:       &lockedRand{r: rand.New(rand.NewPCG(o.Seed, uint64(len(s.Host.Name))))},
		wake:         make(chan struct{}, 1),
	}
	hello := peer.Hello{Host: s.Host.Name, Zone: s.Host.Zone, Incarnation: h.incarnation}
	h.mesh = peer.NewMesh(hello, o.Transport, h)
	h.suspicions = poison.NewTable(h.incarnation, h.made, &suspicionObserver{host: h})
	h.fence = fence.New(h.now)
	h.platform = platformcalls.New(s.Platform.CallsPerSecond, h.metrics, h.fence.Answered)
	h.peers = peers.New(member.Contact{
		Host: s.Host.Name, Zone: s.Host.Zone, PeerAddr: s.Peers.Advertise, ClientAddr: s.Callers.Advertise,
	})
	h.services = services.NewSet(h.View, h.random.Float64)
	h.makeReplicas()
	h.makeRequestPath()
	h.makeReports()
	return h
}

// makeReplicas makes what follows the platform and the upstreams. The parts use
// each other: what is made later is reached through a function.
func (h *Host) makeReplicas() {
	o, id := h.opts, h.opts.Settings.Host
	h.config = configsync.New(configsync.Options{
		Host: id.Name, Zone: id.Zone, Now: h.now, Random: h.random.Float64,
		IsPoller: func() bool { return h.rosters.IsPoller() }, Roster: h.roster,
		Reconfigure: func() { h.rosters.Reconfigure() }, Confirmed: h.serveIfReady,
		SendHeartbeat: func(ctx context.Context, to member.Contact) { h.heartbeats.Send(ctx, to) },
		ChangeLog:     config.NewLog(o.Table, o.Objects), Platform: h.platform,
		Peers: h.peers, Services: h.services, Mesh: h.mesh, Metrics: h.metrics, Log: h.log,
	})
	h.upstreams = upstreams.New(upstreams.Options{
		Host: id.Name, View: h.View, Services: h.services, Peers: h.peers,
		Answered: h.fence.Answered, Changed: h.upstreamsChanged, Log: h.log,
	})
	h.rosters = rosters.New(rosters.Options{
		Host: id.Name, Zone: id.Zone, Region: id.Region, Incarnation: h.incarnation,
		View: h.View, KnownZones: h.config.KnownZones, Leaving: h.leaving.Load,
		NewEpoch: h.tickNow, NotifyZone: func() { h.heartbeats.NotifyZone() },
		Table: o.Table, HostList: o.Hosts, Platform: h.platform,
		Peers: h.peers, Services: h.services, Upstreams: h.upstreams, Mesh: h.mesh, Log: h.log,
	})
}

// makeRequestPath makes what a request passes through.
func (h *Host) makeRequestPath() {
	id := h.opts.Settings.Host
	h.client = upstream.New(h.opts.DialUpstream, h.upstreams.Observe)
	h.links = links.New(links.Options{
		Host: id.Name, Zone: id.Zone, Region: id.Region, View: h.View, Peers: h.peers,
		ZoneHosts: func() int { return len(h.roster().Members) }, Mesh: h.mesh,
	})
	h.admission = admission.New(admission.Options{
		Zone: id.Zone, View: h.View, Services: h.services, Fence: h.fence,
		Client: h.guard(), Metrics: h.metrics, Tracer: h.tracer,
	})
	h.forward = forward.New(forward.Options{
		Zone: id.Zone, View: h.View, Services: h.services, Peers: h.peers, Links: h.links,
		Admitter: h.admission, Mesh: h.mesh, Random: h.random.Float64, Metrics: h.metrics, Tracer: h.tracer,
	})
	h.dispatch = dispatch.New(dispatch.Options{
		View: h.View, Services: h.services, Admitter: h.admission, Forwarder: h.forward, Now: h.now, Tracer: h.tracer,
	})
	h.tickets = tickets.New(tickets.Options{
		Host: id.Name, Zone: id.Zone, Incarnation: h.incarnation, View: h.View,
		Dispatch: h.dispatch.Dispatch, Forwarder: h.forward, Peers: h.peers, Mesh: h.mesh, Log: h.log,
	})
}

// makeReports makes what reports on the parts: to other hosts, to clients and to
// operators.
func (h *Host) makeReports() {
	s := h.opts.Settings
	h.heartbeats = heartbeats.New(heartbeats.Options{
		Zone: h.zone, Seeds: s.Peers.Seeds, Peers: h.peers, Services: h.services, Config: h.config,
		Rosters: h.rosters, Upstreams: h.upstreams, Suspicions: h.suspicions, Successors: h.tickets.Successors, Leaving: h.leaving.Load,
		Answered: h.fence.Answered, PeerUp: h.refreshServices, Now: h.now, Mesh: h.mesh,
	})
	h.directory = directory.New(directory.Options{
		Zone: h.zone, TTL: time.Duration(s.Callers.TTL), View: h.View, Peers: h.peers, Leaving: h.leaving.Load,
	})
	h.drain = drain.New(drain.Options{
		Host: s.Host.Name, Zone: h.zone, View: h.View, Peers: h.peers, Services: h.services,
		Roster: h.roster, Leaving: h.upstreams.Leaving, Mesh: h.mesh,
	})
}

func (h *Host) roster() roster.Roster { return h.rosters.Current() }

// upstreamsChanged applies a change of an upstream's state that this host saw
// first, and reports it to the zone at once.
func (h *Host) upstreamsChanged() {
	h.rosters.Reconfigure()
	h.heartbeats.NotifyZone()
}

// Start begins the host's duties. Clients must be able to reach the host by
// then: clientAddr is the address of the listener opened for them.
func (h *Host) Start(ctx context.Context, clientAddr string) error {
	addr, err := h.mesh.Listen(h.opts.Settings.Peers.Listen)
	if err != nil {
		return err
	}
	self := h.Self()
	self.PeerAddr = cmp.Or(self.PeerAddr, addr)
	self.ClientAddr = cmp.Or(self.ClientAddr, clientAddr)
	h.peers.SetSelf(self)
	h.fence.Start()
	ctx, h.stop = context.WithCancel(ctx)
	h.registerMetrics()
	h.wait.Go(func() { h.loop(ctx) })
	h.wait.Go(func() { h.config.PollLoop(ctx) })
	h.wait.Go(func() { h.upstreams.ProbeLoop(ctx, h.client.Probe) })
	h.wait.Go(func() { h.rosters.Loop(ctx) })
	h.log.Info().Str("zone", h.zone).Str("incarnation", h.incarnation).Msg("entry: host started")
	return nil
}

// Close stops the host at once.
func (h *Host) Close() {
	if h.stop != nil {
		h.stop()
	}
	h.mesh.Close()
	h.wait.Wait()
	h.tickets.Wait()
	h.client.Close()
}

// Self is how the host is reached.
func (h *Host) Self() member.Contact { return h.peers.Self() }

// Metrics gives the host's metrics.
func (h *Host) Metrics() *telemetry.Metrics { return h.metrics }

// View is the configuration in force.
func (h *Host) View() *config.View { return h.config.View() }

// Serving reports whether the host ever had a configuration that was known
// to be the newest, and somewhere to send requests to. It never serves from an
// old configuration alone.
func (h *Host) Serving() bool { return h.serving.Load() }

// Ready reports whether clients should come: the host serves, and it is not
// leaving.
func (h *Host) Ready() bool { return h.Serving() && !h.leaving.Load() }

// clockStart is what the host's clock reads when the host is made; above
// zero, so that zero is always long ago.
const clockStart = int64(time.Hour)

// now reads the host's monotonic clock, in nanoseconds. It counts the time for which the machine was suspended, as the other hosts do: they
// give a silent host's slots away meanwhile.
func (h *Host) now() int64 {
	h.suspendWatch.Check()
	return clockStart + int64(time.Since(h.made)+h.suspendWatch.Total())
}

// lockedRand is a random source for many goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) Float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}
