package entry

import (
	"context"
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
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/upstream"
	"cairndock/internal/settings"
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
	Log          zerolog.Logger
	Traces       trace.TracerProvider
	// Seed makes the host's random choices repeatable.
	Seed uint64
}

// Host is one entry host.
type Host struct {
	opts        Options
	zone        string
	incarnation string
	made        time.Time
	log         zerolog.Logger
	tracer      trace.Tracer
	metrics     *telemetry.Metrics
	random      *lockedRand
	mesh        *peer.Mesh
	client      *upstream.Client

	// What the host knows, and what it may use by that.
	peers      *peers.Table
	services   *services.Set
	config     *configsync.Replica
	rosters    *rosters.Membership
	upstreams  *upstreams.Tracker
	heartbeats *heartbeats.Exchanger
	fence      *fence.Fence
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

	ready    atomic.Bool
	leaving  atomic.Bool
	inFlight atomic.Int64
	wake     chan struct{}

	stop context.CancelFunc
	wait sync.WaitGroup
}

// Start begins the host's duties. Clients must be able to reach the host by
// then: callerAddr is the address of the listener opened for them.
func (h *Host) Start(ctx context.Context, callerAddr string) error {
	addr, err := h.mesh.Listen(h.opts.Settings.Peers.Listen)
	if err != nil {
		return err
	}
	self := h.Self()
	self.PeerAddr = settings.Default(self.PeerAddr, addr)
	self.ClientAddr = settings.Default(self.ClientAddr, callerAddr)
	h.peers.SetSelf(self)
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
	h.log.Info().Str("zone", h.zone).Str("incarnation", h.incarnation).Msg("entry: host started")
	return nil
}

// Distrust makes the host read its zone's roster before it sends anything more,
// as it does when its own loop shows that it was paused.
func (h *Host) Distrust() { h.fence.Close() }

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
func (h *Host) Serving() bool { return h.ready.Load() }

// Ready reports whether clients should come: the host serves, and it is not
// leaving.
func (h *Host) Ready() bool { return h.Serving() && !h.leaving.Load() }

// Frozen reports whether the configuration may no longer be the newest.
func (h *Host) Frozen() bool { return h.config.Frozen() }

// clockStart is what the host's clock reads when the host is made; above
// zero, so that zero is always long ago.
const clockStart = int64(time.Hour)

// now reads the host's monotonic clock, in nanoseconds.
func (h *Host) now() int64 { return clockStart + int64(time.Since(h.made)) }
