package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

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
	"cairndock/internal/telemetry"
)

// New makes a host. Its settings must have been prepared.
func New(o Options) (*Host, error) {
	s := o.Settings
	h := &Host{
		opts:        o,
		zone:        s.Host.Zone,
		incarnation: rosters.NewIncarnation(),
		made:        time.Now(),
		log:         o.Log.With().Str("host", s.Host.Name).Logger(),
		tracer:      telemetry.Tracer(o.Traces),
		metrics:     telemetry.NewMetrics(),
		random:      &lockedRand{r: rand.New(rand.NewPCG(o.Seed, uint64(len(s.Host.Name))))},
		wake:        make(chan struct{}, 1),
	}
	hello := peer.Hello{Host: s.Host.Name, Zone: s.Host.Zone, Incarnation: h.incarnation}
	h.mesh = peer.NewMesh(hello, o.Transport, h)
	h.fence = fence.New(h.now)
	h.platform = platformcalls.New(s.Platform.CallsPerSecond, h.metrics, h.fence.Answered)
	h.peers = peers.New(member.Contact{
		Host: s.Host.Name, Zone: s.Host.Zone, PeerAddr: s.Peers.Advertise, ClientAddr: s.Callers.Advertise,
	})
	h.services = services.NewSet(h.View, h.random.Float64)
	h.makeReplicas()
	h.makeRequestPath()
	h.makeHeartbeats()
	h.makeReports()
	return h, nil
}

// makeReplicas makes what follows the platform and the upstreams.
func (h *Host) makeReplicas() {
	o, id := h.opts, h.opts.Settings.Host
	h.config = configsync.New(configsync.Options{
		Host: id.Name, Zone: id.Zone, Now: h.now, Random: h.random.Float64,
		IsPoller: func() bool { return h.rosters.IsPoller() }, Roster: h.roster,
		Changed: func() { h.rosters.Reconfigure() }, Confirmed: h.becomeReady,
		SendHeartbeat: func(ctx context.Context, to member.Contact) { h.heartbeats.Send(ctx, to) },
		Log:           config.NewLog(o.Table, o.Objects), Platform: h.platform,
		Peers: h.peers, Services: h.services, Mesh: h.mesh, Metrics: h.metrics, Logger: h.log,
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
		Client: h.client, Metrics: h.metrics, Tracer: h.tracer,
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

// makeHeartbeats makes the exchange of what the parts know with other hosts.
func (h *Host) makeHeartbeats() {
	s := h.opts.Settings
	h.heartbeats = heartbeats.New(heartbeats.Options{
		Zone: h.zone, Seeds: s.Peers.Seeds, Peers: h.peers, Services: h.services, Config: h.config,
		Rosters: h.rosters, Upstreams: h.upstreams, Handovers: h.tickets.Handovers, Leaving: h.leaving.Load,
		Answered: h.fence.Answered, PeerUp: h.refreshServices, Now: h.now, Mesh: h.mesh,
	})
}

// makeReports makes what clients and operators ask for beside requests.
func (h *Host) makeReports() {
	s := h.opts.Settings
	h.directory = directory.New(directory.Options{
		Zone: h.zone, TTL: time.Duration(s.Callers.TTL), View: h.View, Peers: h.peers, Leaving: h.leaving.Load,
	})
	h.drain = drain.New(drain.Options{
		Host: s.Host.Name, Zone: h.zone, View: h.View, Peers: h.peers, Services: h.services,
		Roster: h.roster, Leaving: h.upstreams.Leaving, Mesh: h.mesh,
	})
}

func (h *Host) probeLoop(ctx context.Context) { h.upstreams.ProbeLoop(ctx, h.client) }

func (h *Host) roster() roster.Roster { return h.rosters.Current() }

// upstreamsChanged applies a change of an upstream's state that this host saw
// first, and reports it to the zone at once.
func (h *Host) upstreamsChanged() {
	h.rosters.Reconfigure()
	h.heartbeats.NotifyZone()
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
