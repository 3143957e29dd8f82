package fleet

import (
	"slices"
	"time"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/poison"
)

// Host is the identity of a gateway host. It is sent in heartbeats (msgpack) and stored
// in the registry (JSON).
type Host struct {
	Name   string `msgpack:"n" json:"name"`
	Zone   string `msgpack:"z" json:"zone"`
	Region string `msgpack:"r" json:"region"`
	// PeerAddress is the address for connections from other hosts, as HOST:PORT.
	PeerAddress string `msgpack:"p" json:"peer_address"`
	// ClientAddress is the address for connections from clients, as HOST:PORT.
	ClientAddress string `msgpack:"c" json:"caller_address"`
	// Incarnation is different for each process of the host.
	Incarnation string `msgpack:"i" json:"incarnation"`
	// Capacity is the requests per second that the host can handle. Zero means unknown.
	Capacity int `msgpack:"q,omitempty" json:"capacity,omitempty"`
}

// Status is the part of a heartbeat that changes while a host runs.
type Status struct {
	// Ready reports that the host has a configuration and can serve.
	Ready bool `msgpack:"r,omitempty"`
	// Leaving reports that the host is about to stop.
	Leaving bool `msgpack:"l,omitempty"`
	// Withdrawn reports that the host has released its shares of all limits.
	Withdrawn bool `msgpack:"w,omitempty"`
	// TakesIndirect reports that the host reaches upstreams and sends requests of hosts
	// there that reach none. Hosts of older versions don't.
	TakesIndirect bool `msgpack:"i,omitempty"`
	// QuarantinesUnknown reports that the host serves without having learned which requests
	// are quarantined, so that other hosts do not learn that from it. Hosts of older
	// versions don't report it.
	QuarantinesUnknown bool `msgpack:"k,omitempty"`
	// StoreUnreachable reports that the host polled the store for its region without success,
	// so that another host must. Hosts of older versions don't report it.
	StoreUnreachable bool `msgpack:"s,omitempty"`
	// Rate is the recent rate of client requests to the host, in requests per second.
	Rate int `msgpack:"q,omitempty"`
	// Changes is the version of the last change in each table's replica, in the order of
	// Options.Tables.
	Changes []int64 `msgpack:"c,omitempty"`
	// Eras are the eras of Changes. Hosts of versions without eras omit them.
	Eras []int64 `msgpack:"b,omitempty"`
	// Fresh reports that the store confirmed all replicas within watch.Timing.MaxAge.
	Fresh bool `msgpack:"f,omitempty"`
	// Observations are the failures and successes seen at upstreams that recently
	// failed.
	Observations []outlier.Observation `msgpack:"u,omitempty"`
	// Notices are the notices of upstreams that the host has.
	Notices []notice.Report `msgpack:"n,omitempty"`
}

// WithLastChange returns the status with the version of the last change of one more
// table.
func (s Status) WithLastChange(v watch.Version) Status {
	s.Changes = append(slices.Clip(s.Changes), v.Number)
	s.Eras = append(slices.Clip(s.Eras), v.Era)
	return s
}

// lastChanges returns the version of the last change in each table.
func (s Status) lastChanges() []watch.Version {
	versions := make([]watch.Version, len(s.Changes))
	for table, number := range s.Changes {
		versions[table].Number = number
		if table < len(s.Eras) {
			versions[table].Era = s.Eras[table]
		}
	}
	return versions
}

// acceptsClients reports whether the directory may advertise the host to clients.
func (s Status) acceptsClients() bool { return s.Ready && !s.Leaving }

const (
	// deadTimeout is the time after a peer's last heartbeat from which on the peer
	// counts as dead. It must exceed heartbeatInterval + schedulerTick +
	// heartbeatTimeout, so that a peer that only responds to heartbeats does not count
	// as dead. It differs from the timeout in selector/member: here heartbeats have a
	// fixed interval, whereas there they have a byte budget, and the allowed silence
	// grows with their interval.
	deadTimeout = 2500 * time.Millisecond
	// peerTTL is how long a peer is kept that sends no heartbeat and is named neither by
	// the registry nor by another host. Until then limits are still split with the peer,
	// because it may only be unreachable from here. When hosts that were cut off from
	// each other forgot each other after a minute, nine of them sent 87 requests to a
	// cold upstream that was allowed 26. The value is twice the hour for which regions
	// may lose contact with each other.
	peerTTL = 2 * time.Hour
	// leavingPeerTTL is the corresponding time for a peer that has announced that it
	// leaves. Such a peer ends within its grace period.
	leavingPeerTTL = time.Minute
	// advertisePeriod is how long after a peer was last reported a host names it to
	// other hosts. A receiver treats a named host as reported just now, so with peerTTL
	// as the limit, starting hosts would pass on the names of removed hosts forever. The
	// value is four times regionQueryInterval.
	advertisePeriod = time.Minute
)

// peerState is what this host knows about one peer.
type peerState struct {
	host   Host
	status Status
	// lastHeartbeat is when the peer's last heartbeat was received; zero if there was
	// none.
	lastHeartbeat time.Time
	// lastReported is when the peer was last named by the registry or by another host,
	// or last sent a heartbeat itself.
	lastReported time.Time
	// listedVersion is the version of the peer's announcement in the registry, and
	// announcedAt is when this host first read that version. Both are zero if the peer
	// was never listed.
	listedVersion watch.Version
	announcedAt   time.Time
	// getsHeartbeats is set while this host sends heartbeats to the peer. Only such
	// peers are logged as lost and regained.
	getsHeartbeats bool
	// suspicions record which suspicions the peer and this host have received from each
	// other.
	suspicions poison.Watermarks
	// loadsUpTo is the time up to which the peer has the load reports that this host
	// received; zero if it has none.
	loadsUpTo time.Time
}

// alive reports whether a heartbeat was received within deadTimeout. A peer that is only
// known by name is not alive.
func (p *peerState) alive(now time.Time) bool {
	return !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) < deadTimeout
}

// expired reports whether the peer should be forgotten.
func (p *peerState) expired(now time.Time) bool {
	after := peerTTL
	if p.status.Leaving {
		after = leavingPeerTTL
	}
	return now.Sub(p.lastReported) > after
}
