package routing

import (
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// The states of an upstream in the log.
const (
	// stateReady takes requests.
	stateReady = "ready"
	// stateDraining takes no new requests.
	stateDraining = "draining"
	// stateGone has left the table.
	stateGone = "gone"
	// stateLapsed has left the table just after the store was away, or is missing
	// from a copy that it came back from, and may come back.
	stateLapsed = "entry lapsed"
	// stateExpired lapsed and did not come back in time.
	stateExpired = "gone, entry did not come back"
	// stateDiscarded has an entry that can't be read.
	stateDiscarded = "entry can't be read"
	// stateLate is an entry that an earlier run of the upstream wrote late.
	stateLate = "entry of an earlier run, ignored for now"
	// stateReverted is such an entry, or one of an upstream that was removed, in a store that
	// came back from an older copy.
	stateReverted = "entry of a restored store, ignored for now"
	// stateLateUsed is an entry that was ignored and still stands there after a while.
	stateLateUsed = "entry that was ignored, used as it stays"
)

// UpstreamSink applies changes of the upstreams' table.
func (s *State) UpstreamSink() watch.Sink {
	return &sink{state: s, table: UpstreamTable, apply: s.applyUpstreamRows}
}

// applyUpstreamRows applies changed rows. The first full reading makes the
// upstreams complete: one that appears after it has just started and is cold.
func (s *State) applyUpstreamRows(u watch.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lapsed := false
	for _, row := range u.Rows {
		if row.Deleted {
			lapsed = s.removeUpstream(row, now, u.StoreReturned) || lapsed
			continue
		}
		s.putUpstream(row, now, s.putCurrent)
	}
	if lapsed {
		time.AfterFunc(u.StoreReturned.Add(upstream.LapseGrace).Sub(now), s.expire)
	}
	if u.Restored {
		s.applyReverted(u, now)
	}
	if u.Full {
		s.registry.MarkSynced()
	}
	s.publish()
	if u.Full {
		// After publish: a host that is ready has its upstreams.
		s.synced.Store(true)
	}
}

// applyReverted applies rows of a store that came back from an older copy; s.mu is held.
func (s *State) applyReverted(u watch.Update, now time.Time) {
	s.registry.StoreRestored(now)
	for _, row := range u.Reverted {
		switch {
		case row.Deleted && row.Known <= u.Shared:
			// The copy is of after its registration, so it was removed. An upstream that
			// writes again counts its writes, so that no such row passes for a shared one.
			s.removeUpstream(row.Row, now, time.Time{})
		case row.Deleted:
			s.logRemoved(row.Row, s.registry.RemoveReverted(row.Key, now))
		default:
			s.putUpstream(row.Row, now, s.putReverted)
		}
	}
	time.AfterFunc(upstream.RestoreGrace, s.expire)
	time.AfterFunc(upstream.RestoreGrace, s.applyLate)
}

// putCurrent puts a registration of the store's present era, and returns its state in the
// log.
func (s *State) putCurrent(r upstream.Registration, now time.Time) string {
	if s.registry.Put(r, now) {
		return s.stateOf(r)
	}
	time.AfterFunc(upstream.StaleEntryGrace, s.applyLate)
	return stateLate
}

// putReverted puts a registration that may be older than what was known.
func (s *State) putReverted(r upstream.Registration, now time.Time) string {
	if s.registry.PutReverted(r, now) {
		return s.stateOf(r)
	}
	return stateReverted
}

// stateOf is the state in the log of an upstream that was put.
func (s *State) stateOf(r upstream.Registration) string {
	if s.registry.IsDraining(r.ID) {
		return stateDraining
	}
	return stateReady
}

// putUpstream adds or changes the upstream of a row by put; s.mu is held. A row that
// can't be decoded names no upstream to use: whoever wrote it, the one that stood
// there gets no new work until its row can be read again. Those of the first
// reading are not logged, as nothing changed.
func (s *State) putUpstream(row watch.Row, now time.Time, put func(upstream.Registration, time.Time) string) {
	registration, ok := decode(s, UpstreamTable, row, s.decoder.Upstream)
	if !ok {
		if s.registry.Discard(row.Key, now) {
			s.log.Upstream(row.Key, upstream.Registration{}, stateDiscarded, row.Version)
		}
		return
	}
	state := put(registration, now)
	if s.synced.Load() {
		s.log.Upstream(row.Key, registration, state, row.Version)
	}
}

// removeUpstream removes the upstream of a deleted row; s.mu is held. It
// reports whether the entry lapsed: then the upstream stays until expire.
// storeReturned is when the store last came back, or zero.
func (s *State) removeUpstream(row watch.Row, now, storeReturned time.Time) (lapsed bool) {
	lapsed = s.registry.Remove(row.Key, now, storeReturned)
	s.logRemoved(row, lapsed)
	return lapsed
}

func (s *State) logRemoved(row watch.Row, lapsed bool) {
	state := stateGone
	if lapsed {
		state = stateLapsed
	}
	s.log.Upstream(row.Key, upstream.Registration{}, state, row.Version)
}

// MarkLeaving has a run of an upstream that said in a response that it leaves get no new
// work, whatever its row says.
func (s *State) MarkLeaving(run upstream.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.MarkLeaving(run, time.Now())
	s.publish()
}

// applyLate uses the entries of earlier runs that no later run has replaced.
func (s *State) applyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, registration := range s.registry.ApplyDeferred(time.Now()) {
		s.log.Upstream(registration.ID, registration, stateLateUsed, 0)
	}
	s.publish()
}

// expire removes the upstreams whose entries lapsed and did not come back.
func (s *State) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, registration := range s.registry.Expire(time.Now()) {
		s.log.Upstream(registration.ID, registration, stateExpired, 0)
	}
	s.publish()
}
