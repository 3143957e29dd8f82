package routing

import (
	"maps"
	"slices"
	"time"

	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/watch"
)

// OperatorSink applies changes of the operators' table.
func (s *State) OperatorSink() watch.Sink {
	return &sink{state: s, table: OperatorTable, apply: s.applyOperatorRows}
}

// applyOperatorRows applies changed rows. A deleted row ends its evacuation; a
// deleted configuration stays in force, as there is none to replace it. Of a store
// that came back from an older copy an evacuation is taken, and none ends.
func (s *State) applyOperatorRows(u watch.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := slices.Concat(u.Rows, s.holdEvacuations(u))
	evacuated := maps.Clone(s.evacuated)
	version := int64(0)
	for _, row := range rows {
		version = max(version, row.Version)
		delete(s.held, row.Key)
		if row.Deleted {
			delete(evacuated, row.Key)
			continue
		}
		decoded, ok := decode(s, OperatorTable, row, s.decoder.OperatorRow)
		switch {
		case !ok: // logged; what is in force stays
		case decoded.Table != nil:
			s.useConfig(decoded.Table)
		default:
			evacuated[row.Key] = decoded.Evacuate
		}
	}
	s.evacuate(evacuated, version)
}

// useConfig puts a configuration in force unless the one in force is as new.
func (s *State) useConfig(t *route.Table) {
	if old := s.config.Load(); old != nil && t.Version <= old.Version {
		return
	}
	s.config.Store(t)
	s.log.Config(t.Version, t.Routes())
}

// evacuate puts the evacuations in force, given as zones by their rows' keys.
// version is the newest of the rows that changed, for the log.
func (s *State) evacuate(byKey map[string]string, version int64) {
	if maps.Equal(byKey, s.evacuated) {
		return
	}
	s.evacuated = byKey
	zones := map[string]bool{}
	for _, zone := range byKey {
		zones[zone] = true
	}
	s.registry.Evacuate(zones, time.Now())
	s.publish()
	s.log.Evacuated(slices.Sorted(maps.Keys(zones)), version)
}
