package routing

import (
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// States of an upstream in the log.
const (
	// stateReady means that the upstream accepts requests.
	stateReady = "ready"
	// stateDraining means that the upstream accepts no new requests.
	stateDraining = "draining"
	// stateRemoved means that the upstream was removed from the table.
	stateRemoved = "gone"
	// stateLapsed means that the entry disappeared shortly after an outage of the store,
	// or is missing from the older copy of a restored store, and may be written again.
	stateLapsed = "entry lapsed"
	// stateExpired means that the entry lapsed and was not written again in time.
	stateExpired = "gone, entry did not come back"
	// stateDiscarded means that the entry can't be decoded.
	stateDiscarded = "entry can't be read"
	// stateLate means that the entry was written late, by an earlier run of the upstream or
	// before its drain.
	stateLate = "late entry, ignored for now"
	// stateReverted means that a restored store has the entry of an earlier run, or of an
	// upstream that was removed.
	stateReverted = "entry of a restored store, ignored for now"
	// stateLateUsed means that an entry that was ignored is used, because it was not
	// replaced in the grace period.
	stateLateUsed = "entry that was ignored, used as it stays"
)

// UpstreamSink returns a sink that applies changes of the upstreams' table.
func (s *State) UpstreamSink() watch.Sink {
	return &sink{state: s, table: UpstreamTable, apply: s.applyUpstreamRows}
}

// applyUpstreamRows applies changed rows. After the first full listing the upstreams are
// complete: an upstream that appears later has just started and is cold.
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
		// Set synced only after publish, so that a host that is ready has its upstreams.
		s.synced.Store(true)
	}
}

// applyReverted applies rows of a store that was restored from an older copy. s.mu must be
// held.
func (s *State) applyReverted(u watch.Update, now time.Time) {
	s.registry.StoreRestored(now)
	for _, row := range u.Reverted {
		switch {
		case row.Deleted && row.Known <= u.Shared:
			// The copy has all changes up to u.Shared but lacks this entry, so the entry
			// was removed before the copy was made. Each write of an upstream increments a
			// counter in its row, so a row that was written again never counts as shared.
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

// putCurrent puts a registration of the store's current era, and returns its state for the
// log.
func (s *State) putCurrent(r upstream.Registration, now time.Time) string {
	if s.registry.Put(r, now) {
		return s.stateOf(r)
	}
	time.AfterFunc(s.registry.DeferredFor(r.ID, now), s.applyLate)
	return stateLate
}

// putReverted puts a registration that may be older than the known one, and returns its
// state for the log.
func (s *State) putReverted(r upstream.Registration, now time.Time) string {
	if s.registry.PutReverted(r, now) {
		return s.stateOf(r)
	}
	return stateReverted
}

// stateOf returns the state for the log of an upstream whose registration was put.
func (s *State) stateOf(r upstream.Registration) string {
	if s.registry.IsDraining(r.ID) {
		return stateDraining
	}
	return stateReady
}

// decodeUpstream decodes an upstream's row. It returns an error for a row of another writer that
// names no run of the upstream. s.mu must be held.
func (s *State) decodeUpstream(key string, value []byte) (upstream.Registration, error) {
	registration, err := s.decoder.Upstream(key, value)
	if err != nil {
		return registration, err
	}
	return registration, s.registry.Check(registration, time.Now())
}

// putUpstream adds or changes the upstream of a row with put. If the row can't be decoded,
// whoever wrote it, the upstream with its key gets no new requests until the row is valid
// again. Upstreams of the first full listing are not logged, because nothing changed. s.mu
// must be held.
func (s *State) putUpstream(row watch.Row, now time.Time, put func(upstream.Registration, time.Time) string) {
	registration, ok := decode(s, UpstreamTable, row, s.decodeUpstream)
	if !ok {
		delete(s.newVersions, row.Key)
		if s.registry.Discard(row.Key, now) {
			s.log.Upstream(row.Key, upstream.Registration{}, stateDiscarded, row.Version)
		}
		return
	}
	if s.holdNewVersion(row, registration) {
		return
	}
	state := put(registration, now)
	if s.synced.Load() && (s.registry.Changed(row.Key) || state == stateLate || state == stateReverted) {
		s.log.Upstream(row.Key, registration, state, row.Version)
	}
}

// removeUpstream removes the upstream of a deleted row. It reports whether the entry
// lapsed; a lapsed upstream stays until expire. storeReturned is when the store last
// became available again, or zero. s.mu must be held.
func (s *State) removeUpstream(row watch.Row, now, storeReturned time.Time) (lapsed bool) {
	delete(s.newVersions, row.Key)
	lapsed = s.registry.Remove(row.Key, now, storeReturned)
	s.logRemoved(row, lapsed)
	return lapsed
}

func (s *State) logRemoved(row watch.Row, lapsed bool) {
	state := stateRemoved
	if lapsed {
		state = stateLapsed
	}
	s.log.Upstream(row.Key, upstream.Registration{}, state, row.Version)
}

// MarkLeaving excludes a run of an upstream from new requests, whatever its row contains,
// because the run announced in a response that it leaves.
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

// expire removes the upstreams whose entries lapsed and were not written again in time.
func (s *State) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, registration := range s.registry.Expire(time.Now()) {
		s.log.Upstream(registration.ID, registration, stateExpired, 0)
	}
	s.publish()
}
