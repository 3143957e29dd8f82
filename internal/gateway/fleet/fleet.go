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

// Registry is the stored list of hosts and of the requests that they quarantined.
type Registry interface {
	// Announce adds a host and returns the era of the store in which the host was added.
	// Withdraw removes the host.
	Announce(ctx context.Context, h Host) (era int64, err error)
	Withdraw(ctx context.Context, h Host) error
	// Read returns the content of the registry for a region.
	Read(ctx context.Context, region string) (RegionList, error)
	// Quarantine stores a quarantined request under a region, and Release removes it.
	Quarantine(ctx context.Context, region string, q StoredQuarantine) error
	Release(ctx context.Context, region string, f poison.Fingerprint) error
}

// RegionList is the content of the registry for a region.
type RegionList struct {
	// Hosts are all hosts of the region. Some may not run any more.
	Hosts []Listing
	// Quarantines are the quarantined requests. Every region has all of them.
	Quarantines []StoredQuarantine
}

// Listing is the entry of a host in the registry.
type Listing struct {
	Host Host
	// Version is the version of the host's last announcement.
	Version watch.Version
}

// Reporter logs when peers are lost and when they are available again.
type Reporter interface {
	Lost(kind, name string, err error)
	Regained(kind, name string, after time.Duration)
	// BadInput reports that another host sent an invalid frame or exceeded a limit.
	BadInput(source string, err error)
	// Stalled reports for how long the process had no CPU time.
	Stalled(d time.Duration)
	// QuarantineStored reports that this host stored a quarantine under a region, and how
	// many writes that took.
	QuarantineStored(f poison.Fingerprint, region string, attempts int)
	// QuarantinesLearned reports from which region's list or from which host a starting
	// host learned of quarantines, and QuarantinesUnread that it no longer waits for them.
	QuarantinesLearned(source string)
	QuarantinesUnread(waited time.Duration)
	// LoadReportsDropped reports how many load reports exceeded a bound, which detail
	// names, since the last call for the same bound. peer is the last host that they came
	// from or were meant for.
	LoadReportsDropped(peer, detail string, reports int)
}

// ObservationSink receives the failures and successes that other hosts of this host's
// region observed at upstreams.
type ObservationSink interface {
	Merge(host string, observations []outlier.Observation, now time.Time)
}

// NoticeSink receives the notices that other hosts received from upstreams.
type NoticeSink interface {
	Merge(reports []notice.Report, now time.Time)
}

// Suspicions are the requests that are suspected of terminating upstreams. All hosts
// share them, because such a request may reach any host.
type Suspicions interface {
	// UpdateFor returns the changes of a scope that another host does not have yet.
	// MergeUpdate and MergeSecondhand merge an update that it sent.
	UpdateFor(m poison.Watermarks, now time.Time, c poison.Scope) poison.Update
	MergeUpdate(n poison.Update, now time.Time) poison.Watermarks
	MergeSecondhand(n poison.Update, now time.Time) poison.Watermarks
	// Completes reports whether an update, once merged, leaves out none of the sender's
	// suspicions.
	Completes(u poison.Update) bool
	// Merge adds reports that were read from the registry.
	Merge(reports []poison.Report, now time.Time)
	// Quarantines returns the quarantined requests with their reports.
	Quarantines(now time.Time) []poison.Quarantine
}

// Table is a table of the store that hosts relay to each other.
type Table struct {
	// Replica is this host's copy of the table. The host serves it to its peers.
	Replica *watch.Replica
	// Store reads the table directly from the store.
	Store watch.Source
}

// Options are the dependencies and settings of a Fleet.
type Options struct {
	Self Host
	// Regions are the regions of the deployment, including the host's own.
	Regions []string
	// Zones maps each availability zone of the settings to its region.
	Zones        map[string]string
	Registry     Registry
	Report       Reporter
	Observations ObservationSink
	Notices      NoticeSink
	Suspicions   Suspicions
	Tokens       TokenProvider
	Indirect     IndirectServer
	Rollouts     Rollouts
	// Loads exchanges load reports with the hosts of the zone; nil if this host neither
	// sends nor uses reports. Metrics counts the reports.
	Loads   Loads
	Metrics Metrics
	// Status returns the current status of this host.
	Status func() Status
	// Seeds are peer addresses that a starting host queries for other hosts.
	Seeds     []string
	Transport peer.Transport
	// FirstStart is set while the deployment starts for the first time and has no
	// clients yet.
	FirstStart bool
	// Tables are relayed between hosts. Messages identify a table by its index.
	Tables []Table
	// MaxAge is the maximum age at which a relayed table is still used.
	MaxAge time.Duration
}

// Fleet exchanges heartbeats with the other hosts and serves their requests. Its methods
// are safe for concurrent use.
type Fleet struct {
	options Options
	mesh    *peer.Mesh
	// limitAssignment is the assignment of the shards of account limits to hosts.
	limitAssignment atomic.Pointer[quota.Assignment]
	cachedStatus    statusCache
	loads           loadSharing
	// quarantinesLearned is set once this host has learned which requests are
	// quarantined.
	quarantinesLearned atomic.Bool
	// quarantineWaitStart is when this host first had all other data that it needs to
	// serve; nil before that. quarantineWaitEnded is set once it no longer waited.
	quarantineWaitStart atomic.Pointer[time.Time]
	quarantineWaitEnded atomic.Bool
	// quarantinesChanged wakes keepQuarantinesStored.
	quarantinesChanged chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	members *members
	// nextHeartbeat is when the next heartbeat to each peer is due, by the peer's name.
	nextHeartbeat map[string]time.Time
	// triggeredAt is when TriggerHeartbeats last made heartbeats due.
	triggeredAt time.Time
	// triggeredAllAt is when TriggerAllHeartbeats last made heartbeats due.
	triggeredAllAt time.Time
	discovery      discovery
	// newest is the newest version seen of each table.
	newest []versionSeen
	// storePolls has the state of the polls of each table at the store.
	storePolls []storePolls
	// storeReachable is closed when this host reaches the store again and may poll it for its
	// region; a new channel then replaces it.
	storeReachable chan struct{}
	// announcedEra is the era of the store in which this host was last announced.
	announcedEra int64
	// quarantineRows has the rows of quarantines that this host has written or read.
	quarantineRows map[quarantineRow]rowState
}

// New returns a fleet that is not running yet.
func New(o Options) *Fleet {
	f := &Fleet{
		options: o, members: newMembers(o.Self, o.Regions, time.Now()), nextHeartbeat: map[string]time.Time{},
		discovery: newDiscovery(o.Self.Region), newest: make([]versionSeen, len(o.Tables)), storePolls: make([]storePolls, len(o.Tables)), storeReachable: make(chan struct{}), announcedEra: notAnnounced,
		quarantinesChanged: make(chan struct{}, 1), quarantineRows: map[quarantineRow]rowState{},
	}
	hello := peer.Hello{Host: o.Self.Name, Zone: o.Self.Zone, Incarnation: o.Self.Incarnation}
	f.mesh = peer.NewMesh(hello, o.Transport, f)
	f.mesh.OnBadInput(func(source string, err error) { o.Report.BadInput(source, err) })
	f.members.firstStart = o.FirstStart
	f.updateAssignment(time.Now())
	return f
}

// Start listens for peers, registers this host and sends heartbeats until the context
// ends. Peers are served until the process ends, so that a draining host still relays
// tables and reports that it is leaving.
func (f *Fleet) Start(ctx context.Context) error {
	if _, err := f.mesh.Listen(f.options.Self.PeerAddress); err != nil {
		return err
	}
	go f.keepRegistered(ctx)
	go f.heartbeatLoop(ctx)
	go f.readQuarantines(ctx)
	go f.keepQuarantinesStored(ctx)
	return nil
}

// Withdraw sends all peers a heartbeat with the status of a leaving host and removes
// this host from the registry. From then on the host has no share of limits that hosts
// share, because hosts that start do not learn of it.
func (f *Fleet) Withdraw(ctx context.Context) {
	f.mu.Lock()
	f.members.withdrawn = true
	f.mu.Unlock()
	f.cachedStatus.reset()
	f.updateAssignment(time.Now())
	f.heartbeatAll(ctx)
	// The error is dropped: the host is stopping and does not retry. If the entry
	// remains, a starting host sends a few heartbeats that get no response, until it
	// forgets this host after peerTTL.
	_ = f.options.Registry.Withdraw(ctx, f.options.Self)
}

// Hosts is the number of known hosts, including dead ones and this host.
func (f *Fleet) Hosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.size()
}

// Suspended ages all state received from other hosts by the time for which the machine
// was suspended, so that a host last seen before the suspension does not count as alive
// after it.
func (f *Fleet) Suspended(gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.suspended(gap)
	f.loads.reset()
	for i := range f.newest {
		f.newest[i].at = f.newest[i].at.Add(-gap)
	}
}

// CommonShare is this host's share of a limit of all hosts, from 0 to 1; zero while the
// host does not know all hosts that share the limit.
func (f *Fleet) CommonShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.commonShare(time.Now())
}

// UnreadLists is the number of regions whose list of hosts was not read completely yet.
func (f *Fleet) UnreadLists() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members.unread())
}

// ServePeer serves a request from a peer.
func (f *Fleet) ServePeer(ctx context.Context, from peer.Hello, kind peer.Kind, payload []byte, w *peer.Responder) {
	switch kind {
	case peer.KindHeartbeat:
		f.serveHeartbeat(payload, w)
	case peer.KindChanges:
		f.serveRelay(ctx, payload, w)
	case peer.KindTokens:
		f.serveTokens(payload, w)
	case peer.KindForward:
		f.serveIndirect(ctx, from, payload, w)
	case peer.KindRollout:
		f.serveRollout(payload, w)
	default:
		fail(w)
	}
}

// fail ends a request without a response. A write error is dropped because it means that
// the connection is lost, which the peer notices as well.
func fail(w *peer.Responder) { _ = w.Fail() }

// respond sends a response and reports whether it was sent. An error is dropped: either the
// connection is lost, or the response is larger than a frame. In the second case the request
// ends at the peer's deadline, and the peer turns to another host or to the store.
func respond(w *peer.Responder, response any) bool { return w.Send(response) == nil }
