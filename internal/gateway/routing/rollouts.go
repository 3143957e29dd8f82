package routing

import (
	"slices"

	"cairndock/internal/gateway/watch"
)

// RolloutSink returns a sink that applies changes of the table of roll-outs.
func (s *State) RolloutSink() watch.Sink {
	return &sink{state: s, table: RolloutTable, apply: s.applyRolloutRows}
}

// applyRolloutRows applies changed rows. A deleted row has no effect, because hosts do not
// delete the progress of a roll-out: only a store that was restored from an older copy lacks
// it, and then it is written again.
func (s *State) applyRolloutRows(u watch.Update) {
	rows := slices.Clip(u.Rows)
	if u.Restored {
		s.rollouts.StoreRestored()
		for _, row := range u.Reverted {
			rows = append(rows, row.Row)
		}
	}
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		if record, ok := decode(s, RolloutTable, row, s.decoder.Rollout); ok {
			record.Revision = row.Version
			s.rollouts.PutRecord(record)
		}
	}
	if u.Full {
		s.rolloutsSynced.Store(true)
	}
}
