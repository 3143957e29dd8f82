// Package entry is one entry host: it puts the duties together, admits
// requests and passes them to upstreams or to other entry hosts.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"cairndock/internal/peer"
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
	"cairndock/internal/selector/upstream"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
)

// Options is what a host is made of.
type Options struct {
	Settings settings.Settings
	Table    config.Table
	Objects  config.Objects
	Hosts    rosters.HostLister
	// Transport carries peer connections, and DialUpstream those to
	// upstreams; nil is TCP.
	Transport    peer.Transport
	DialUpstream upstream.DialFunc
	Log          zerolog.Logger
	Traces       trace.TracerProvider
	// Seed makes the host's random choices repeatable.
	Seed uint64
}

// Host is one entry host.
type Host struct {
	opts        Options
	self        member.Contact
	region      string
	incarnation string
	made        time.Time
	log         zerolog.Logger
	tracer      trace.Tracer
	metrics     *telemetry.Metrics
	mesh        *peer.Mesh
	client      *upstream.Client
	random      *lockedRand

	ready atomic.Bool

	peers     *peers.Table
	config    *configsync.Replica
	services  *services.Set
	upstreams *upstreams.Tracker
	rosters   *rosters.Membership
	fence     *fence.Fence
	platform  *platformcalls.Caller

	links      *links.Links
	admission  *admission.Admitter
	forward    *forward.Forwarder
	dispatch   *dispatch.Dispatcher
	tickets    *tickets.Issuer
	heartbeats *heartbeats.Exchanger
	directory  *directory.Directory
	drain      *drain.Counter

	leaving  atomic.Bool
	inFlight atomic.Int64
	wake     chan struct{}

	stop context.CancelFunc
	wait sync.WaitGroup
}

type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) Float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

// New makes a host. Its settings must have been prepared.
func New(o Options) (*Host, error) {
	s := o.Settings
	incarnation := rosters.NewIncarnation()
	h := &Host{
		opts:        o,
		region:      s.Host.Region,
		incarnation: incarnation,
		made:        time.Now(),
		log:         o.Log.With().Str("host", s.Host.Name).Logger(),
		tracer:      telemetry.Tracer(o.Traces),
		metrics:     telemetry.NewMetrics(),
		random:      &lockedRand{r: rand.New(rand.NewPCG(o.Seed, uint64(len(s.Host.Name))))},
		wake:        make(chan struct{}, 1),
	}
	h.self = member.Contact{Host: s.Host.Name, Zone: s.Host.Zone, PeerAddr: s.Peers.Advertise, CallerAddr: s.Callers.Advertise}
	hello := peer.Hello{Host: s.Host.Name, Zone: s.Host.Zone, Incarnation: incarnation}
	h.mesh = peer.NewMesh(hello, o.Transport, h)
	h.fence = fence.New(h.now)
	h.platform = platformcalls.New(s.Platform.CallsPerSecond, h.metrics, h.fence.Answered)
	h.peers = peers.New(h.self)
	h.services = services.NewSet(h.View, h.random.Float64)
	h.config = configsync.New(configsync.Options{
		Host: s.Host.Name, Zone: s.Host.Zone, Now: h.now, Random: h.random.Float64,
		IsPoller: func() bool { return h.rosters.IsPoller() }, Roster: h.roster,
		Changed: func() { h.rosters.Reconfigure() }, Confirmed: h.becomeReady,
		SendHeartbeat: func(ctx context.Context, to member.Contact) { h.heartbeats.Send(ctx, to) }, Log: config.NewLog(o.Table, o.Objects), Platform: h.platform,
		Peers: h.peers, Services: h.services, Mesh: h.mesh, Metrics: h.metrics, Logger: h.log,
	})
	h.upstreams = upstreams.New(upstreams.Options{
		Host: s.Host.Name, View: h.View, Services: h.services, Peers: h.peers,
		Answered: h.fence.Answered, Changed: h.upstreamsChanged, Log: h.log,
	})
	h.rosters = rosters.New(rosters.Options{
		Host: s.Host.Name, Zone: s.Host.Zone, Region: s.Host.Region, Incarnation: incarnation,
		View: h.View, KnownZones: h.config.KnownZones, Leaving: h.leaving.Load,
		NewEpoch: h.tickNow, TellZone: func() { h.heartbeats.TellZone() }, Table: o.Table, HostList: o.Hosts, Platform: h.platform,
		Peers: h.peers, Services: h.services, Upstreams: h.upstreams, Mesh: h.mesh, Log: h.log,
	})
	h.client = upstream.New(o.DialUpstream, h.upstreams.Observe)
	h.links = links.New(links.Options{
		Host: s.Host.Name, Zone: s.Host.Zone, Region: h.region, View: h.View, Peers: h.peers,
		ZoneHosts: func() int { return len(h.roster().Members) }, Mesh: h.mesh,
	})
	h.admission = admission.New(admission.Options{
		Zone: s.Host.Zone, View: h.View, Services: h.services, Fence: h.fence,
		Client: h.client, Metrics: h.metrics, Tracer: h.tracer,
	})
	h.forward = forward.New(forward.Options{
		Zone: s.Host.Zone, View: h.View, Services: h.services, Peers: h.peers, Links: h.links,
		Admitter: h.admission, Mesh: h.mesh, Random: h.random.Float64, Metrics: h.metrics, Tracer: h.tracer,
	})
	h.dispatch = dispatch.New(dispatch.Options{
		View: h.View, Services: h.services, Admitter: h.admission, Forwarder: h.forward, Now: h.now, Tracer: h.tracer,
	})
	h.tickets = tickets.New(tickets.Options{
		Host: s.Host.Name, Zone: s.Host.Zone, Incarnation: incarnation, View: h.View,
		Dispatch: h.dispatch.Dispatch, Forwarder: h.forward, Peers: h.peers, Mesh: h.mesh, Log: h.log,
	})
	h.heartbeats = heartbeats.New(heartbeats.Options{
		Zone: s.Host.Zone, Seeds: s.Peers.Seeds, Peers: h.peers, Services: h.services, Config: h.config,
		Rosters: h.rosters, Upstreams: h.upstreams, Handovers: h.tickets.Handovers, Leaving: h.leaving.Load,
		Answered: h.fence.Answered, PeerUp: h.refreshServices, Now: h.now, Mesh: h.mesh,
	})
	h.directory = directory.New(directory.Options{
		Zone: s.Host.Zone, TTL: time.Duration(s.Callers.TTL), View: h.View, Peers: h.peers, Leaving: h.leaving.Load,
	})
	h.drain = drain.New(drain.Options{
		Host: s.Host.Name, Zone: s.Host.Zone, View: h.View, Peers: h.peers, Services: h.services,
		Roster: h.roster, Leaving: h.upstreams.Leaving, Mesh: h.mesh,
	})
	return h, nil
}

// Start takes up the host's duties. The caller's address must be known, so
// the callers' listener is opened first and its address given here.
func (h *Host) Start(ctx context.Context, callerAddr string) error {
	addr, err := h.mesh.Listen(h.opts.Settings.Peers.Listen)
	if err != nil {
		return err
	}
	h.self.PeerAddr = settings.Default(h.self.PeerAddr, addr)
	h.self.CallerAddr = settings.Default(h.self.CallerAddr, callerAddr)
	h.peers.SetSelf(h.self)
	h.fence.Start()
	ctx, h.stop = context.WithCancel(ctx)
	h.registerMetrics()
	for _, loop := range []func(context.Context){h.loop, h.config.PollLoop, h.probeLoop, h.rosters.Loop} {
		h.wait.Add(1)
		go func() {
			defer h.wait.Done()
			loop(ctx)
		}()
	}
	h.log.Info().Str("zone", h.self.Zone).Str("incarnation", h.incarnation).Msg("entry: host started")
	return nil
}

// Distrust makes the host ask for its zone's roster before it sends anything
// more, as it does when its own loop shows that it was paused.
func (h *Host) Distrust() { h.fence.Close() }

func (h *Host) probeLoop(ctx context.Context) { h.upstreams.ProbeLoop(ctx, h.client) }

func (h *Host) roster() roster.Roster { return h.rosters.Current() }

// upstreamsChanged applies a change of an upstream's state that this host saw
// first, and reports it to the zone at once.
func (h *Host) upstreamsChanged() {
	h.rosters.Reconfigure()
	h.heartbeats.TellZone()
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

// Self says how to reach the host.
func (h *Host) Self() member.Contact { return h.self }

// Metrics gives the host's metrics.
func (h *Host) Metrics() *telemetry.Metrics { return h.metrics }

// View is the configuration in force.
func (h *Host) View() *config.View { return h.config.View() }

// Serving reports whether the host ever had a configuration that was known
// to be the newest. An old one alone is never served from.
func (h *Host) Serving() bool { return h.ready.Load() }

// Ready reports whether callers should come: the host serves, and it is not
// leaving.
func (h *Host) Ready() bool { return h.Serving() && !h.leaving.Load() }

// Frozen reports whether the configuration may no longer be the newest.
func (h *Host) Frozen() bool { return h.config.Frozen() }

// clockStart is what the host's clock reads when the host is made; above
// zero, so that zero is always long ago.
const clockStart = int64(time.Hour)

// now reads the host's monotonic clock, in nanoseconds.
func (h *Host) now() int64 { return clockStart + int64(time.Since(h.made)) }
