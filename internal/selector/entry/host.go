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

// Options configures a Host.
type Options struct {
	Settings servesettings.Settings
	Table    config.Table
	Objects  config.Objects
	Hosts    rosters.HostLister
	// Transport carries connections between hosts.
	Transport peer.Transport
	// DialUpstream opens connections to upstreams. Nil means TCP.
	DialUpstream upstream.DialFunc
	// StopClients closes the clients' connections: it accepts no new ones, waits
	// until each request in flight has its response, aborts the remaining
	// requests when ctx ends, and returns the number of requests that it
	// aborted. It is nil if the host has no listener for clients.
	StopClients func(ctx context.Context) int64
	// SuspendClock measures the time for which the machine was suspended. Nil
	// means the clock of this machine.
	SuspendClock suspend.Clock
	Log          zerolog.Logger
	Traces       trace.TracerProvider
	// Seed is the seed of the host's random choices.
	Seed uint64
}

// Host is one entry host.
type Host struct {
	opts         Options
	zone         string
	incarnation  string
	createdAt    time.Time
	suspendWatch *suspend.Watch
	log          zerolog.Logger
	tracer       trace.Tracer
	metrics      *telemetry.Metrics
	random       *lockedRand
	mesh         *peer.Mesh
	client       *upstream.Client

	// Replicated state and the permissions derived from it.
	peers      *peers.Table
	services   *services.Set
	config     *configsync.Replica
	rosters    *rosters.Membership
	upstreams  *upstreams.Tracker
	heartbeats *heartbeats.Exchanger
	fence      *fence.Fence
	// suspicions holds the requests suspected of terminating upstreams.
	suspicions *poison.Table
	platform   *platformcalls.Caller

	// The path of a request.
	admission *admission.Admitter
	forward   *forward.Forwarder
	dispatch  *dispatch.Dispatcher
	tickets   *tickets.Issuer
	links     *links.Links

	// Queries of operators and clients.
	directory *directory.Directory
	drain     *drain.Counter

	serving atomic.Bool
	leaving atomic.Bool
	// inFlight counts the requests of clients and of other hosts;
	// clientsInFlight counts only the requests of clients.
	inFlight        atomic.Int64
	clientsInFlight atomic.Int64
	wake            chan struct{}

	stop context.CancelFunc
	wait sync.WaitGroup
}

// New returns a host. The defaults of its settings must have been filled in by
// Default.
func New(o Options) *Host {
	s := o.Settings
	h := &Host{
		opts:         o,
		zone:         s.Host.Zone,
		incarnation:  rosters.NewIncarnation(),
		createdAt:    time.Now(),
		suspendWatch: suspend.NewWatch(cmp.Or[suspend.Clock](o.SuspendClock, suspend.Machine{})),
		log:          o.Log.With().Str("host", s.Host.Name).Logger(),
		tracer:       telemetry.Tracer(o.Traces),
		metrics:      telemetry.NewMetrics(),
		random:       &lockedRand{r: rand.New(rand.NewPCG(o.Seed, uint64(len(s.Host.Name))))},
		wake:         make(chan struct{}, 1),
	}
	hello := peer.Hello{Host: s.Host.Name, Zone: s.Host.Zone, Incarnation: h.incarnation}
	h.mesh = peer.NewMesh(hello, o.Transport, h)
	h.mesh.OnBadInput(func(source string, err error) {
		h.log.Warn().Str("peer", source).Err(err).Msg("entry: input of another host is not used")
	})
	h.suspicions = poison.NewTable(h.incarnation, h.createdAt, &suspicionObserver{host: h})
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

// makeReplicas creates the components that track the state of the platform and
// the upstreams. The components use each other: one that is created later is
// accessed through a function.
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

// makeRequestPath creates the components that handle requests.
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

// makeReports creates the components that report the host's state to other hosts,
// clients and operators.
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

// upstreamsChanged applies a change of an upstream's state that this host
// observed, and immediately reports it to the zone.
func (h *Host) upstreamsChanged() {
	h.rosters.Reconfigure()
	h.heartbeats.NotifyZone()
}

// Start starts the host. Clients must already be able to reach the host:
// clientAddr is the address of the listener that is open for them. Start returns
// an error if the host cannot listen for peers.
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

// Close stops the host immediately, without waiting for requests in flight.
func (h *Host) Close() {
	if h.stop != nil {
		h.stop()
	}
	h.mesh.Close()
	h.wait.Wait()
	h.tickets.Wait()
	h.client.Close()
}

// Self returns the contact of the host.
func (h *Host) Self() member.Contact { return h.peers.Self() }

// Metrics returns the host's metrics.
func (h *Host) Metrics() *telemetry.Metrics { return h.metrics }

// View returns the configuration in force.
func (h *Host) View() *config.View { return h.config.View() }

// Serving reports whether the host has ever had both a configuration that was
// proved to be the newest and a target for requests. A host never starts to serve
// with a configuration that may be outdated.
func (h *Host) Serving() bool { return h.serving.Load() }

// Ready reports whether clients should use this host: it is serving and not
// leaving.
func (h *Host) Ready() bool { return h.Serving() && !h.leaving.Load() }

// clockStart is the value of the host's clock, in nanoseconds, when the host is
// created. It is above zero so that zero always lies well in the past.
const clockStart = int64(time.Hour)

// now returns the host's monotonic clock, in nanoseconds. The clock includes the
// time for which the machine was suspended, because the other hosts reassign a
// silent host's slots during that time.
func (h *Host) now() int64 {
	h.suspendWatch.Check()
	return clockStart + int64(time.Since(h.createdAt)+h.suspendWatch.Total())
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) Float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}
