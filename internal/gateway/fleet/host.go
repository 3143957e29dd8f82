package fleet

import (
	"slices"
	"time"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/poison"
)

// Host is the identity of a gateway host. It is sent in heartbeats (msgpack)
// and stored in the registry (JSON).
type Host struct {
	Name   string `msgpack:"n" json:"name"`
	Zone   string `msgpack:"z" json:"zone"`
	Region string `msgpack:"r" json:"region"`
	// PeerAddress is where other hosts connect, as HOST:PORT.
	PeerAddress string `msgpack:"p" json:"peer_address"`
	// ClientAddress is where clients connect, as HOST:PORT.
	ClientAddress string `msgpack:"c" json:"caller_address"`
	// Incarnation differs for each start of the host's process.
	Incarnation string `msgpack:"i" json:"incarnation"`
	// Capacity is the requests a second that the host can carry; zero is not known.
	Capacity int `msgpack:"q,omitempty" json:"capacity,omitempty"`
}

// Status is the part of a heartbeat that changes while a host runs.
type Status struct {
	// Ready reports that the host has a configuration and can serve.
	Ready bool `msgpack:"r,omitempty"`
	// Leaving reports that the host is about to stop.
	Leaving bool `msgpack:"l,omitempty"`
	// Withdrawn reports that the host holds no part of any limit any more.
	Withdrawn bool `msgpack:"w,omitempty"`
	// Rate is the requests a second that clients lately sent to the host.
	Rate int `msgpack:"q,omitempty"`
	// Changes is the version of the last change in each table's replica,
	// indexed like Options.Tables.
	Changes []int64 `msgpack:"c,omitempty"`
	// Eras are the eras of Changes; hosts before eras leave them out.
	Eras []int64 `msgpack:"b,omitempty"`
	// Fresh reports that the store confirmed all replicas within
	// watch.Timing.MaxAge.
	Fresh bool `msgpack:"f,omitempty"`
	// Observations are the failures and successes seen at upstreams that
	// recently failed.
	Observations []outlier.Observation `msgpack:"u,omitempty"`
	// Notices are what upstreams say, as the host has it.
	Notices []notice.Report `msgpack:"n,omitempty"`
}

// WithLastChange returns the status with the last change of one more table.
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

// acceptsClients reports whether the directory may name the host.
func (s Status) acceptsClients() bool { return s.Ready && !s.Leaving }

const (
	// deadAfter is the time since a peer's last heartbeat from which on it
	// counts as dead. It must exceed heartbeatEvery + schedulerTick +
	// heartbeatTimeout, so that a peer that only responds to heartbeats is
	// not taken for dead. It is not selector/member's: here heartbeats have a
	// fixed pace; there they keep to a byte budget, and the silence allowed
	// grows with their interval.
	deadAfter = 2500 * time.Millisecond
	// forgetAfter is the time without a heartbeat from a peer, and without its
	// name in a list, after which it is forgotten. Until then limits are still
	// split with it, as it may only be cut off: when cut-off hosts forgot each
	// other after a minute, nine of them sent 87 of 26 requests to a cold
	// upstream: twice the hour for which regions may lose each other.
	forgetAfter = 2 * time.Hour
	// forgetLeftAfter is that time for a peer that has said it leaves: it ends
	// within its grace.
	forgetLeftAfter = time.Minute
	// passOnFor is how long after it last heard of a peer a host names it to
	// others. They keep the name as if it were heard of just now, so that with
	// forgetAfter hosts that are gone would be named from start to start for ever:
	// four times regionQueryEvery.
	passOnFor = time.Minute
)

// peerState is what this host knows of one peer.
type peerState struct {
	host   Host
	status Status
	// lastHeartbeat is when the peer's last heartbeat arrived; zero if none
	// has.
	lastHeartbeat time.Time
	// lastReported is when the peer was last named by the registry or by
	// another host, or sent a heartbeat itself.
	lastReported time.Time
	// listedVersion is the version of the peer's announcement in the registry, and
	// announcedAt when this host first read it; zero if it was never listed.
	listedVersion watch.Version
	announcedAt   time.Time
	// getsHeartbeats is set while this host sends the peer heartbeats. Only
	// such peers are logged as lost and regained.
	getsHeartbeats bool
	// suspicions are how far the peer and this host have each other's.
	suspicions poison.Watermarks
}

// alive reports whether a heartbeat arrived within deadAfter. A peer that is
// only known by name is not alive.
func (p *peerState) alive(now time.Time) bool {
	return !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) < deadAfter
}

// expired reports whether the peer is to be forgotten.
func (p *peerState) expired(now time.Time) bool {
	after := forgetAfter
	if p.status.Leaving {
		after = forgetLeftAfter
	}
	return now.Sub(p.lastReported) > after
}
