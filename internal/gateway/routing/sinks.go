package routing

import (
	"maps"
	"slices"
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// OperatorSink takes over changes of the operators' table.
type OperatorSink struct {
	State *State
}

// Apply takes changes of what operators want.
func (i OperatorSink) Apply(u watch.Update) {
	s := i.State
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuated := maps.Clone(s.evacuated)
	version := int64(0)
	for _, r := range u.Rows {
		version = max(version, r.Version)
		if r.Deleted {
			delete(evacuated, r.Key)
			continue
		}
		intent, err := s.readIntent(r)
		switch {
		case err != nil:
			s.fault("intent", r, err)
		case intent.Table != nil:
			s.adopt(intent.Table)
		default:
			evacuated[r.Key] = intent.Evacuate
		}
	}
	s.evacuate(evacuated, version)
}

func (s *State) readIntent(r watch.Row) (OperatorRow, error) {
	value, err := r.Bytes()
	if err != nil {
		return OperatorRow{}, err
	}
	return s.decoder.OperatorRow(r.Key, value)
}

func (s *State) evacuate(by map[string]string, version int64) {
	if maps.Equal(by, s.evacuated) {
		return
	}
	s.evacuated = by
	zones := map[string]bool{}
	for _, zone := range by {
		zones[zone] = true
	}
	s.registry.Evacuate(zones, time.Now())
	s.publish()
	s.log.Evacuated(slices.Sorted(maps.Keys(zones)), version)
}

// fault notes a row that can't be read; the last good one stays.
func (s *State) fault(table string, r watch.Row, err error) {
	s.metrics.Count(`cairndock_bad_rows_total{table="` + table + `"}`)
	s.log.BadRow(table, r.Key, r.Version, err)
}

// Lost says that a source stopped answering.
func (i OperatorSink) Lost(source string, err error) { i.State.lost("intent", source, err) }

// Regained says that a source answers again.
func (i OperatorSink) Regained(source string, after time.Duration) {
	i.State.log.Regained("intent source", source, after)
}

func (s *State) lost(table, source string, err error) {
	s.metrics.Count(`cairndock_source_lost_total{table="` + table + `"}`)
	s.log.Lost(table+" source", source, err)
}

// UpstreamSink takes over changes of the upstreams' table.
type UpstreamSink struct {
	State *State
}

// Apply takes changes of which upstreams run.
func (u UpstreamSink) Apply(update watch.Update) {
	s := u.State
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lapsed := false
	for _, r := range update.Rows {
		lapsed = s.upstream(r, now, update.StoreReturned) || lapsed
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
		s.seeded.Store(true)
	}
}

// expire forgets the upstreams whose entries lapsed and did not come back.
func (s *State) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.registry.Expire(time.Now()) {
		s.log.Upstream(in.ID, in, "gone, entry did not come back", 0)
	}
	s.publish()
}

// upstream takes over one row; s.mu is held. It reports whether the upstream's
// entry lapsed and it is kept for now.
func (s *State) upstream(r watch.Row, now, returned time.Time) (lapsed bool) {
	if r.Deleted {
		lapsed = s.registry.Remove(r.Key, now, returned)
		state := "gone"
		if lapsed {
			state = "entry lapsed"
		}
		s.log.Upstream(r.Key, upstream.Registration{}, state, r.Version)
		return lapsed
	}
	value, err := r.Bytes()
	if err != nil {
		s.fault("upstream", r, err)
		return false
	}
	in, err := s.decoder.Upstream(r.Key, value)
	if err != nil {
		s.fault("upstream", r, err)
		return false
	}
	s.registry.Put(in, now)
	state := "ready"
	if in.Draining {
		state = "draining"
	}
	if s.seeded.Load() {
		s.log.Upstream(r.Key, in, state, r.Version)
	}
	return false
}

// Lost says that a source stopped answering.
func (u UpstreamSink) Lost(source string, err error) { u.State.lost("upstream", source, err) }

// Regained says that a source answers again.
func (u UpstreamSink) Regained(source string, after time.Duration) {
	u.State.log.Regained("upstream source", source, after)
}
