package fleet

import (
	"time"

	"cairndock/internal/poison"
)

// Suspicions travel in heartbeats, which connect all hosts of all regions within a few
// steps: each host passes on what is news to it.

// withSuspicions adds to a heartbeat what its receiver does not have yet.
func (f *Fleet) withSuspicions(b heartbeat, to string) heartbeat {
	if f.options.Suspicions == nil {
		return b
	}
	var marks poison.Watermarks
	f.mu.Lock()
	if p := f.members.peers[to]; p != nil {
		marks = p.suspicions
	}
	f.mu.Unlock()
	b.Suspicions = f.options.Suspicions.UpdateFor(marks, time.Now())
	return b
}

// mergeSuspicions merges what a heartbeat brought.
func (f *Fleet) mergeSuspicions(b heartbeat, now time.Time) {
	if f.options.Suspicions == nil {
		return
	}
	marks := f.options.Suspicions.MergeUpdate(b.Suspicions, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.members.peers[b.Host.Name]; p != nil && p.host.Incarnation == b.Host.Incarnation {
		p.suspicions = marks
	}
}

// SendSoonToAll makes the next heartbeats to all peers that get them due now, so that
// they learn of a suspicion. It does nothing if it took effect less than sendSoonPause
// ago.
func (f *Fleet) SendSoonToAll() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.sentToAllAt) < sendSoonPause(len(f.members.chosen)) {
		return
	}
	f.sentToAllAt = now
	for _, name := range f.members.chosen {
		f.nextHeartbeat[name] = now
	}
}
