package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/poison"
)

// Suspicions are sent in heartbeats. If each host passed on each suspicion to all peers, a host
// would receive it from most of them. The first hosts of a region therefore collect and pass on
// the suspicions: every host sends them its own and those of other regions, and each other host
// receives all from suspicionSenders of them. Suspects with several terminations are urgent, and
// are passed on by every host to all peers.

// suspicionSenders is how many of the first hosts send all suspicions to a host. One of them may
// be unreachable.
const suspicionSenders = 2

// withSuspicions adds to a heartbeat the suspicions that its receiver does not have yet.
func (f *Fleet) withSuspicions(b heartbeat, to string) heartbeat {
	if f.options.Suspicions == nil {
		return b
	}
	now := time.Now()
	var watermarks poison.Watermarks
	f.mu.Lock()
	if p := f.members.peers[to]; p != nil {
		watermarks = p.suspicions
	}
	scope := f.members.suspicionScope(to, now)
	f.mu.Unlock()
	b.Suspicions = f.options.Suspicions.UpdateFor(watermarks, now, scope)
	return b
}

// suspicionScope returns which suspicions this host sends to a peer.
func (m *members) suspicionScope(to string, now time.Time) poison.Scope {
	first := m.firstHosts(now)
	p := m.peers[to]
	collects := p == nil || p.host.Region != m.self.Region || first[to]
	switch {
	case first[m.self.Name] && (collects || m.sendsSuspicionsTo(to, first, now)):
		return poison.All
	case collects:
		return poison.Firsthand
	default:
		return poison.Repeated
	}
}

// sendsSuspicionsTo reports whether this host is one of the suspicionSenders of a host: those that
// follow the hash of its name among the first hosts that are alive.
func (m *members) sendsSuspicionsTo(to string, first firstHosts, now time.Time) bool {
	var senders []string
	for name := range first {
		if p := m.peers[name]; name == m.self.Name || p != nil && p.alive(now) {
			senders = append(senders, name)
		}
	}
	slices.Sort(senders)
	count := len(senders)
	start := int(xxhash.Sum64String(to) % uint64(count))
	position := slices.Index(senders, m.self.Name)
	return (position-start+count)%count < suspicionSenders
}

// mergeSuspicions merges the suspicions of a received heartbeat. It reports whether this
// host then has all suspicions of the sender.
func (f *Fleet) mergeSuspicions(b heartbeat, now time.Time) (complete bool) {
	if f.options.Suspicions == nil {
		return true
	}
	complete = f.options.Suspicions.Completes(b.Suspicions)
	merge := f.options.Suspicions.MergeSecondhand
	if b.Host.Region != f.options.Self.Region {
		merge = f.options.Suspicions.MergeUpdate
	}
	watermarks := merge(b.Suspicions, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.members.peers[b.Host.Name]; p != nil && p.host.Incarnation == b.Host.Incarnation {
		p.suspicions = watermarks
	}
	return complete
}

// TriggerAllHeartbeats makes the next heartbeats to all heartbeatTargets due now, so
// that these peers learn of a suspicion. It does nothing if it took effect less than
// triggerInterval ago.
func (f *Fleet) TriggerAllHeartbeats() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.triggeredAllAt) < triggerInterval(len(f.members.heartbeatTargets)) {
		return
	}
	f.triggeredAllAt = now
	for _, name := range f.members.heartbeatTargets {
		f.nextHeartbeat[name] = now
	}
}
