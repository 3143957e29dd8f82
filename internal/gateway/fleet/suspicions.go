package fleet

import "time"

// Suspicions travel in heartbeats, which connect all hosts of all regions within a few
// steps: each host passes on what is news to it. A heartbeat has what the receiver does
// not have yet by its own words, so that none is lost with a heartbeat, a host that has
// just started or was cut off gets all, and nothing is sent while nothing changes.

// withSuspicions adds to a heartbeat what its receiver does not have yet.
func (f *Fleet) withSuspicions(b heartbeat, to string) heartbeat {
	if f.options.Suspicions == nil {
		return b
	}
	var has int64
	f.mu.Lock()
	if p := f.members.peers[to]; p != nil {
		has, b.Has = p.has, p.merged
	}
	f.mu.Unlock()
	b.Suspicions, b.UpTo = f.options.Suspicions.Since(has, time.Now())
	return b
}

// mergeSuspicions merges what a heartbeat brought. The number up to which the sender's
// changes are known is noted after that: a heartbeat that is sent meanwhile must not
// claim them.
func (f *Fleet) mergeSuspicions(b heartbeat, now time.Time) {
	if f.options.Suspicions == nil {
		return
	}
	f.options.Suspicions.Merge(b.Suspicions, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.members.peers[b.Host.Name]; p != nil && p.host.Incarnation == b.Host.Incarnation {
		p.has, p.merged = b.Has, b.UpTo
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
