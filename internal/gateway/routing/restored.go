package routing

import (
	"maps"
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// holdMissing handles the evacuations and the orders of roll-outs that are missing from a
// store that was restored from an older copy. They stay in force until their rows are written
// again or until upstream.RestoreGrace has passed. Each further restore restarts this period
// for what is held. holdMissing returns the other reverted rows. s.mu must be held.
func (s *State) holdMissing(u watch.Update) (others []watch.Row) {
	if !u.Restored {
		return nil
	}
	for _, row := range u.Reverted {
		_, evacuated := s.evacuated[row.Key]
		_, ordered := s.orders[row.Key]
		if (evacuated || ordered) && row.Deleted {
			s.held[row.Key] = true
			continue
		}
		others = append(others, row.Row)
	}
	if len(s.held) > 0 {
		s.heldUntil = time.Now().Add(upstream.RestoreGrace)
		time.AfterFunc(upstream.RestoreGrace, s.endHeld)
	}
	return others
}

// endHeld ends the evacuations and the orders of roll-outs whose rows were not written again
// in time.
func (s *State) endHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.heldUntil) {
		return
	}
	isHeld := func(key string) bool { return s.held[key] }
	zones, orders := without(s.evacuated, isHeld), without(s.orders, isHeld)
	clear(s.held)
	s.order(orders)
	s.evacuate(zones, 0)
}

// without returns a copy of a map without the keys that match.
func without[V any](m map[string]V, match func(key string) bool) map[string]V {
	left := maps.Clone(m)
	maps.DeleteFunc(left, func(key string, _ V) bool { return match(key) })
	return left
}
