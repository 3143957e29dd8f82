package fleet

import (
	"time"

	"cairndock/internal/poison"
)

// Suspicions are sent in heartbeats, which connect all hosts of all regions within a few
// steps, because each host passes on the suspicions that are new to it.

// withSuspicions adds to a heartbeat the suspicions that its receiver does not have yet.
func (f *Fleet) withSuspicions(b heartbeat, to string) heartbeat {
	if f.options.Suspicions == nil {
		return b
	}
	var watermarks poison.Watermarks
	f.mu.Lock()
	if p := f.members.peers[to]; p != nil {
		watermarks = p.suspicions
	}
	f.mu.Unlock()
	b.Suspicions = f.options.Suspicions.UpdateFor(watermarks, time.Now())
	return b
}

// mergeSuspicions merges the suspicions of a received heartbeat. It reports whether this
// host then has all suspicions of the sender.
func (f *Fleet) mergeSuspicions(b heartbeat, now time.Time) (complete bool) {
	if f.options.Suspicions == nil {
		return true
	}
	complete = f.options.Suspicions.Completes(b.Suspicions)
	watermarks := f.options.Suspicions.MergeUpdate(b.Suspicions, now)
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
