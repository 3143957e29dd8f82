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
	// stateLapsed has left the table just after the store was away, and may
	// come back.
	stateLapsed = "entry lapsed"
	// stateExpired lapsed and did not come back in time.
	stateExpired = "gone, entry did not come back"
)

// UpstreamSink applies changes of the upstreams' table to a State.
type UpstreamSink struct {
	// State receives the changes.
	State *State
}

// Apply applies changed rows. The first full reading makes the upstreams
// complete: one that appears after it has just started and is cold.
func (u UpstreamSink) Apply(update watch.Update) {
	s := u.State
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lapsed := false
	for _, row := range update.Rows {
		if !row.Deleted {
			s.putUpstream(row, now)
			continue
		}
		if s.removeUpstream(row, now, update.StoreReturned) {
			lapsed = true
		}
	}
	if lapsed {
		time.AfterFunc(update.StoreReturned.Add(upstream.LapseGrace).Sub(now), s.expire)
	}
	first := update.Full && !s.seeded.Load()
	if first {
		s.registry.Seed()
	}
	s.publish()
	if first {
		// After publish: a host that is ready has its upstreams.
		s.seeded.Store(true)
	}
}

// Lost logs that the table's source does not respond any more.
func (u UpstreamSink) Lost(source string, err error) {
	u.State.recordLost(upstreamTable, source, err)
}

// Regained logs that the table's source responds again.
func (u UpstreamSink) Regained(source string, after time.Duration) {
	u.State.recordRegained(upstreamTable, source, after)
}

// putUpstream adds or changes the upstream of a row; s.mu is held. One whose
// row can't be decoded stays as it is. Those of the first reading are not
// logged, as nothing changed.
func (s *State) putUpstream(row watch.Row, now time.Time) {
	registration, err := s.decodeUpstream(row)
	if err != nil {
		s.recordBadRow(upstreamTable, row, err)
		return
	}
	s.registry.Put(registration, now)
	if !s.seeded.Load() {
		return
	}
	state := stateReady
	if registration.Draining {
		state = stateDraining
	}
	s.log.Upstream(row.Key, registration, state, row.Version)
}

func (s *State) decodeUpstream(row watch.Row) (upstream.Registration, error) {
	value, err := row.Bytes()
	if err != nil {
		return upstream.Registration{}, err
	}
	return s.decoder.Upstream(row.Key, value)
}

// removeUpstream removes the upstream of a deleted row; s.mu is held. It
// reports whether the entry lapsed: then the upstream stays until expire.
// storeReturned is when the store last came back, or zero.
func (s *State) removeUpstream(row watch.Row, now, storeReturned time.Time) (lapsed bool) {
	lapsed = s.registry.Remove(row.Key, now, storeReturned)
	state := stateGone
	if lapsed {
		state = stateLapsed
	}
	s.log.Upstream(row.Key, upstream.Registration{}, state, row.Version)
	return lapsed
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
