package fleet

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/rollout"
	"cairndock/internal/peer"
)

const (
	// reportTimeout bounds one report about roll-outs.
	reportTimeout = 700 * time.Millisecond
	// isolationTime is how long a silent host may still send requests to upstreams of any
	// version. It exceeds the time after which a host that hears of no other host counts
	// itself as isolated, and the longest time for which such a host still goes by what
	// it knew.
	isolationTime = 8 * time.Second
)

// Rollouts receives the reports of other hosts about roll-outs. *rollout.Table implements it.
type Rollouts interface {
	Receive(host string, r rollout.Report, now time.Time) rollout.Reply
}

// rolloutReport is a report about roll-outs and its sender.
type rolloutReport struct {
	Host   string         `msgpack:"h"`
	Report rollout.Report `msgpack:"r"`
}

// HostID identifies a process of a host in confirmations.
func HostID(h Host) uint64 { return xxhash.Sum64String(h.Name + "/" + h.Incarnation) }

// SendReport sends a report about roll-outs to this host's parent in the region's relay
// tree, and returns its reply. The root of the tree collects the reports of its region; it
// has no parent, and collects is set.
func (f *Fleet) SendReport(ctx context.Context, r rollout.Report) (reply rollout.Reply, collects bool, err error) {
	f.mu.Lock()
	parent, root := f.members.relayParent(true, time.Now())
	f.mu.Unlock()
	if root {
		return nil, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err = peer.Call[rollout.Reply](ctx, f.mesh, parent.PeerAddress, peer.KindRollout, rolloutReport{f.options.Self.Name, r})
	return reply, false, eris.Wrap(err, "report roll-outs")
}

// serveRollout serves a report about roll-outs. A report that cannot be decoded fails without
// a log line, because it comes several times per second; its sender does not confirm then,
// and no roll-out succeeds.
func (f *Fleet) serveRollout(payload []byte, w *peer.Responder) {
	report, err := peer.Decode[rolloutReport](payload)
	if err != nil || f.options.Rollouts == nil {
		fail(w)
		return
	}
	respond(w, f.options.Rollouts.Receive(report.Host, report.Report, time.Now()))
}

// AllConfirmed reports whether a sum of host IDs is that of all hosts of the region that may
// have requests in flight.
func (f *Fleet) AllConfirmed(sum uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.allConfirmed(sum, time.Now())
}

// allConfirmed reports whether a sum of host IDs is that of all live hosts of the region. A
// host that stopped as planned has completed its requests. Another silent host may be cut off
// and still serve clients: it counts as pending until it has been silent for isolationTime,
// by which time a host that is cut off alone has stopped sending requests. Several silent
// hosts that are half of a zone or more may hear each other, and then they go on.
func (m *members) allConfirmed(sum uint64, now time.Time) bool {
	all := HostID(m.self)
	known, silent := map[string]int{m.self.Zone: 1}, map[string]int{}
	for _, p := range m.peersByName(m.indexed().byRegion[m.self.Region]) {
		if !p.alive(now) && p.status.Leaving {
			continue
		}
		known[p.host.Zone]++
		if p.alive(now) {
			all += HostID(p.host)
			continue
		}
		if m.silence(p, now) < isolationTime {
			return false
		}
		silent[p.host.Zone]++
	}
	for zone, count := range silent {
		if count > 1 && 2*count >= known[zone] {
			return false
		}
	}
	return all == sum
}

// silence returns how long this host has not heard from a peer.
func (m *members) silence(p *peerState, now time.Time) time.Duration {
	if p.lastHeartbeat.After(m.started) {
		return now.Sub(p.lastHeartbeat)
	}
	return now.Sub(m.started)
}

// Isolated reports whether fewer than half of the peers that get this host's heartbeats are
// alive.
func (f *Fleet) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	alive, all := 0, 0
	for _, name := range f.members.heartbeatTargets {
		p := f.members.peers[name]
		if p == nil {
			continue
		}
		all++
		if p.alive(now) {
			alive++
		}
	}
	return 2*alive < all
}
