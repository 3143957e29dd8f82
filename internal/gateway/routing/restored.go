package routing

import (
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// holdEvacuations handles the evacuations that are missing from a store that was restored
// from an older copy. They stay in force until their rows are written again or until
// upstream.RestoreGrace has passed. Each further restore restarts this period for the held
// evacuations. holdEvacuations returns the other reverted rows. s.mu must be held.
func (s *State) holdEvacuations(u watch.Update) (others []watch.Row) {
	if !u.Restored {
		return nil
	}
	for _, row := range u.Reverted {
		if _, evacuated := s.evacuated[row.Key]; evacuated && row.Deleted {
			s.held[row.Key] = true
			continue
		}
		others = append(others, row.Row)
	}
	if len(s.held) > 0 {
		s.heldUntil = time.Now().Add(upstream.RestoreGrace)
		time.AfterFunc(upstream.RestoreGrace, s.endHeldEvacuations)
	}
	return others
}

// endHeldEvacuations ends the evacuations whose rows were not written again in time.
func (s *State) endHeldEvacuations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.heldUntil) {
		return
	}
	left := make(map[string]string, len(s.evacuated))
	for key, zone := range s.evacuated {
		if !s.held[key] {
			left[key] = zone
		}
	}
	clear(s.held)
	s.evacuate(left, 0)
}
