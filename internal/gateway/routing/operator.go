package routing

import (
	"maps"
	"slices"
	"time"

	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/watch"
)

// OperatorSink applies changes of the operators' table to a State.
type OperatorSink struct {
	// State receives the changes.
	State *State
}

// Apply applies changed rows. A deleted row ends its evacuation; a deleted
// configuration stays in force, as there is none to replace it.
func (o OperatorSink) Apply(u watch.Update) {
	s := o.State
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuated := maps.Clone(s.evacuated)
	version := int64(0)
	for _, row := range u.Rows {
		version = max(version, row.Version)
		if row.Deleted {
			delete(evacuated, row.Key)
			continue
		}
		decoded, err := s.decodeOperatorRow(row)
		switch {
		case err != nil:
			s.recordBadRow(operatorTable, row, err)
		case decoded.Table != nil:
			s.useTable(decoded.Table)
		default:
			evacuated[row.Key] = decoded.Evacuate
		}
	}
	s.evacuate(evacuated, version)
}

// Lost logs that the table's source does not respond any more.
func (o OperatorSink) Lost(source string, err error) {
	o.State.recordLost(operatorTable, source, err)
}

// Regained logs that the table's source responds again.
func (o OperatorSink) Regained(source string, after time.Duration) {
	o.State.recordRegained(operatorTable, source, after)
}

func (s *State) decodeOperatorRow(row watch.Row) (OperatorRow, error) {
	value, err := row.Bytes()
	if err != nil {
		return OperatorRow{}, err
	}
	return s.decoder.OperatorRow(row.Key, value)
}

// useTable puts a configuration in force unless the one in force is as new.
func (s *State) useTable(t *route.Table) {
	if old := s.table.Load(); old != nil && t.Version <= old.Version {
		return
	}
	s.table.Store(t)
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
