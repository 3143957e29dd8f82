package routing

import (
	"maps"
	"slices"
	"time"

	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/watch"
)

// OperatorSink returns a sink that applies changes of the operator's table.
func (s *State) OperatorSink() watch.Sink {
	return &sink{state: s, table: OperatorTable, apply: s.applyOperatorRows}
}

// applyOperatorRows applies changed rows. A deleted row ends its evacuation or withdraws its
// roll-out. A deleted configuration stays in force, because there is none to replace it. From
// a store that was restored from an older copy, evacuations and orders of roll-outs are
// applied but not ended.
func (s *State) applyOperatorRows(u watch.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := slices.Concat(u.Rows, s.holdMissing(u))
	evacuated, orders := maps.Clone(s.evacuated), maps.Clone(s.orders)
	version := int64(0)
	for _, row := range rows {
		version = max(version, row.Version)
		delete(s.held, row.Key)
		if row.Deleted {
			delete(evacuated, row.Key)
			delete(orders, row.Key)
			continue
		}
		decoded, ok := decode(s, OperatorTable, row, s.decoder.OperatorRow)
		switch {
		case !ok: // already logged; the state in force does not change
		case decoded.Table != nil:
			s.useConfig(decoded.Table)
		case decoded.Rollout != nil:
			order := *decoded.Rollout
			order.Version = row.Version
			orders[row.Key] = order
		default:
			evacuated[row.Key] = decoded.Evacuate
		}
	}
	s.order(orders)
	s.evacuate(evacuated, version)
}

// order puts the orders of roll-outs in force, by the keys of their rows.
func (s *State) order(byKey map[string]rollout.Order) {
	if maps.Equal(byKey, s.orders) {
		return
	}
	s.orders = byKey
	byService := make(map[string]rollout.Order, len(byKey))
	for _, o := range byKey {
		byService[o.Service] = o
	}
	s.ordered.Store(len(byKey) > 0)
	s.rollouts.SetOrders(byService)
}

// useConfig puts a configuration in force unless the current one is as new.
func (s *State) useConfig(t *route.Table) {
	if old := s.config.Load(); old != nil && t.Version <= old.Version {
		return
	}
	s.config.Store(t)
	s.log.Config(t.Version, t.Routes())
}

// evacuate puts the evacuations in force. byKey holds the evacuated zones by the keys of
// their rows. version is the newest version of the changed rows, for the log.
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
