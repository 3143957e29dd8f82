package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
	"cairndock/internal/poison"
)

// Registry is the stored list of hosts, and of the requests that they quarantined.
type Registry interface {
	// Announce adds a host, and returns the era of the store in which it did; Withdraw
	// removes it.
	Announce(ctx context.Context, h Host) (era int64, err error)
	Withdraw(ctx context.Context, h Host) error
	// Read returns what stands there of a region.
	Read(ctx context.Context, region string) (RegionList, error)
	// Quarantine stores a quarantined request with a region, and Release removes it.
	Quarantine(ctx context.Context, region string, q StoredQuarantine) error
	Release(ctx context.Context, region string, f poison.Fingerprint) error
}

// RegionList is what the registry has of a region.
type RegionList struct {
	// Hosts are all hosts of the region; some may be gone.
	Hosts []Listing
	// Quarantines are the quarantined requests; all regions have them.
	Quarantines []StoredQuarantine
}

// Listing is a host in the registry.
type Listing struct {
	Host Host
	// Version is that of its last announcement.
	Version watch.Version
}

// Reporter logs when peers die and come back.
type Reporter interface {
	Lost(kind, name string, err error)
	Regained(kind, name string, after time.Duration)
	// Stalled is told for how long the process had no processor time.
	Stalled(d time.Duration)
}

// ObservationSink receives what the hosts of this host's region observed of
// upstreams.
type ObservationSink interface {
	Merge(host string, observations []outlier.Observation, now time.Time)
}

// NoticeSink receives what other hosts heard upstreams say.
type NoticeSink interface {
	Merge(reports []notice.Report, now time.Time)
}

// Suspicions are what hosts know of requests that end upstreams. All hosts share them,
// as such a request may come to any.
type Suspicions interface {
	// UpdateFor returns what another host does not have yet, and Take merges what it sent.
	UpdateFor(m poison.Watermarks, now time.Time) poison.Update
	MergeUpdate(n poison.Update, now time.Time) poison.Watermarks
	// Merge adds what the registry has.
	Merge(reports []poison.Report, now time.Time)
	// Quarantines returns what is known of the quarantined requests.
	Quarantines(now time.Time) []poison.Report
}

// Table is a table of the store that hosts relay to each other.
type Table struct {
	// Replica is this host's copy, which it serves to its peers.
	Replica *watch.Replica
	// Store reads the table from the store itself.
	Store watch.Source
}

// Options are the dependencies and settings of a Fleet.
type Options struct {
	Self Host
	// Regions are the regions of the deployment, the host's own included.
	Regions []string
	// Zones has the region of each availability zone of the settings.
	Zones        map[string]string
	Registry     Registry
	Report       Reporter
	Observations ObservationSink
	Notices      NoticeSink
	Suspicions   Suspicions
	Tokens       TokenGiver
	// Status returns this host's current status.
	Status func() Status
	// Seeds are peer addresses that a starting host queries for other hosts.
	Seeds     []string
	Transport peer.Transport
	// FirstStart is set while the deployment starts for the first time: no clients
	// are there yet.
	FirstStart bool
	// Tables are relayed between hosts, which name them by their index.
	Tables []Table
	// MaxAge is the age up to which a relayed table is of use.
	MaxAge time.Duration
}

// Fleet exchanges heartbeats with the other hosts and serves their requests.
// Its methods may be used concurrently.
type Fleet struct {
	options Options
	mesh    *peer.Mesh
	// limitPlace is this host's place in the limits of client accounts.
	limitPlace atomic.Pointer[quota.Place]
	// heardOfQuarantines is set once this host has heard of the requests that are
	// quarantined.
	heardOfQuarantines atomic.Bool
	// quarantinesAwaited is since when nothing else keeps this host from serving; nil
	// before.
	quarantinesAwaited atomic.Pointer[time.Time]

	// mu guards what follows.
	mu      sync.Mutex
	members *members
	// nextHeartbeat is when each peer, by name, is due a heartbeat.
	nextHeartbeat map[string]time.Time
	// sentSoonAt is when SendSoon last took effect.
	sentSoonAt time.Time
	// sentToAllAt is when SendSoonToAll last took effect.
	sentToAllAt time.Time
	discovery   discovery
	// newest is the newest version seen of each table.
	newest []versionSeen
	// announcedEra is the store's era in which this host was announced last.
	announcedEra int64
}

// New returns a fleet that does not run yet.
func New(o Options) *Fleet {
	f := &Fleet{
		options: o, members: newMembers(o.Self, o.Regions, time.Now()), nextHeartbeat: map[string]time.Time{},
		discovery: newDiscovery(o.Self.Region), newest: make([]versionSeen, len(o.Tables)), announcedEra: notAnnounced,
	}
	hello := peer.Hello{Host: o.Self.Name, Zone: o.Self.Zone, Incarnation: o.Self.Incarnation}
	f.mesh = peer.NewMesh(hello, o.Transport, f)
	f.members.firstStart = o.FirstStart
	f.updatePlace(time.Now())
	return f
}

// Start listens for peers, and registers this host and sends heartbeats until
// the context ends. Peers are served until the process ends, so that a host
// which drains still relays and reports that it is leaving.
func (f *Fleet) Start(ctx context.Context) error {
	if _, err := f.mesh.Listen(f.options.Self.PeerAddress); err != nil {
		return err
	}
	go f.keepRegistered(ctx)
	go f.heartbeatLoop(ctx)
	return nil
}

// Withdraw sends all peers a heartbeat with the status of a host that leaves,
// and removes this host from the registry. From now on it has no part of a limit
// that hosts share: those that start do not know of it.
func (f *Fleet) Withdraw(ctx context.Context) {
	f.mu.Lock()
	f.members.withdrawn = true
	f.mu.Unlock()
	f.updatePlace(time.Now())
	f.heartbeatAll(ctx)
	// The error is dropped: the host is stopping and does not retry. An entry
	// that stays costs a starting host a few failed heartbeats, until it
	// forgets the host after forgetAfter.
	_ = f.options.Registry.Withdraw(ctx, f.options.Self)
}

// Hosts is the number of known hosts, dead ones and this host included.
func (f *Fleet) Hosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.size()
}

// Suspended has what this host knows of others be older by the time for which the
// machine was suspended: hosts that it heard before do not count as alive after it.
func (f *Fleet) Suspended(gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.suspended(gap)
	for i := range f.newest {
		f.newest[i].at = f.newest[i].at.Add(-gap)
	}
}

// CommonPart is this host's part of a limit of all hosts, from 0 to 1; zero while it
// does not know who shares the limit, or stops.
func (f *Fleet) CommonPart() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.commonPart(time.Now())
}

// UnreadLists is the number of regions of which no whole list of hosts was read.
func (f *Fleet) UnreadLists() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members.unread())
}

// ServePeer serves a request of a peer.
func (f *Fleet) ServePeer(ctx context.Context, _ peer.Hello, kind peer.Kind, payload []byte, w *peer.Responder) {
	switch kind {
	case peer.KindHeartbeat:
		f.serveHeartbeat(payload, w)
	case peer.KindChanges:
		f.serveRelay(ctx, payload, w)
	case peer.KindTokens:
		f.serveTokens(payload, w)
	default:
		fail(w)
	}
}

// fail ends a request without a response. A write error is dropped: it means
// that the connection is lost, which the peer sees as well.
func fail(w *peer.Responder) { _ = w.Fail() }

// respond sends a response. An error is dropped: either the connection is
// lost, or the response is larger than a frame; the peer's deadline ends its
// request then, and it goes to another host or to the store.
func respond(w *peer.Responder, response any) { _ = w.Send(response) }
