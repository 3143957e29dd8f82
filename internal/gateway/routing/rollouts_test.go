package routing_test

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/telemetry"
)

// rolloutDecoder decodes rows that are JSON of the program's own types.
type rolloutDecoder struct{}

func (rolloutDecoder) OperatorRow(_ string, value []byte) (routing.OperatorRow, error) {
	var o rollout.Order
	err := json.Unmarshal(value, &o)
	return routing.OperatorRow{Rollout: &o}, err
}

func (rolloutDecoder) Upstream(_ string, value []byte) (r upstream.Registration, err error) {
	return r, json.Unmarshal(value, &r)
}

func (rolloutDecoder) Rollout(_ string, value []byte) (r rollout.Record, err error) {
	return r, json.Unmarshal(value, &r)
}

// rollouts records what the state passes on.
type rollouts struct {
	orders   atomic.Pointer[map[string]rollout.Order]
	records  []rollout.Record
	restored int
}

func (r *rollouts) SetOrders(orders map[string]rollout.Order) { r.orders.Store(&orders) }
func (r *rollouts) PutRecord(c rollout.Record)                { r.records = append(r.records, c) }
func (r *rollouts) StoreRestored()                            { r.restored++ }

func encode(t *testing.T, version int64, key string, value any) watch.Row {
	t.Helper()
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return watch.Row{Key: key, Value: text, Version: version}
}

// newRolloutHost returns a state, the roll-outs that it passes on, and the version of its copy
// of the operator's table, which tests set.
func newRolloutHost(t *testing.T) (s *routing.State, r *rollouts, operator *atomic.Int64) {
	h := newHost()
	t.Cleanup(h.log.Close)
	s, r, operator = routing.New(rolloutDecoder{}, h.log, telemetry.NewMetrics()), &rollouts{}, &atomic.Int64{}
	s.UseRollouts(r, func() watch.Version { return watch.Version{Number: operator.Load()} })
	return s, r, operator
}

// An order that a restored store has lost must stay in force until it can be written again.
func TestAnOrderOutlastsARestoreOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r, _ := newRolloutHost(t)
		sink := s.OperatorSink()
		order := rollout.Order{Service: "s", Target: "v2"}
		sink.Apply(watch.Update{Rows: []watch.Row{encode(t, 7, "rollout/s", order)}})
		order.Version = 7
		require.Equal(t, map[string]rollout.Order{"s": order}, *r.orders.Load())
		lost := watch.Reverted{Row: watch.Row{Key: "rollout/s", Version: 3, Deleted: true}, Known: 7}
		sink.Apply(watch.Update{Restored: true, Reverted: []watch.Reverted{lost}})
		require.Len(t, *r.orders.Load(), 1)
		time.Sleep(upstream.RestoreGrace)
		synctest.Wait()
		require.Empty(t, *r.orders.Load())
	})
}

func TestAnOrderThatCannotBeReadChangesNothing(t *testing.T) {
	s, r, _ := newRolloutHost(t)
	s.OperatorSink().Apply(watch.Update{Rows: []watch.Row{encode(t, 7, "rollout/s", rollout.Order{Service: "s", Target: "v2"})}})
	s.OperatorSink().Apply(watch.Update{Rows: []watch.Row{{Key: "rollout/s", Value: []byte("{"), Version: 8}}})
	require.Equal(t, int64(7), (*r.orders.Load())["s"].Version)
	s.OperatorSink().Apply(watch.Update{Rows: []watch.Row{{Key: "rollout/s", Version: 9, Deleted: true}}})
	require.Empty(t, *r.orders.Load())
}

func TestTheProgressOfRollOutsIsPassedOn(t *testing.T) {
	s, r, _ := newRolloutHost(t)
	record := rollout.Record{Order: rollout.Order{Service: "s", Target: "v2", Version: 7}, Phase: rollout.Ramp}
	s.RolloutSink().Apply(watch.Update{Full: true, Rows: []watch.Row{encode(t, 9, "s", record)}})
	record.Revision = 9
	require.Equal(t, []rollout.Record{record}, r.records)
	reverted := watch.Reverted{Row: encode(t, 4, "s", record), Known: 9}
	s.RolloutSink().Apply(watch.Update{Restored: true, Reverted: []watch.Reverted{reverted}})
	require.Equal(t, 1, r.restored)
	require.Len(t, r.records, 2)
}

// The upstreams of a new version must get nothing before this host can know whether they were
// started for a roll-out. Upstreams of versions in use are used at once.
func TestANewVersionIsUsedOnceItsOrderWouldBeKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, operator := newRolloutHost(t)
		sink := s.UpstreamSink()
		put := func(version int64, id, software string, full bool) {
			u := upstream.Registration{ID: id, Service: "s", SoftwareVersion: software}
			sink.Apply(watch.Update{Full: full, Rows: []watch.Row{encode(t, version, id, u)}})
		}
		operator.Store(10)
		put(10, "old", "v1", true)
		put(20, "more", "v1", false)
		put(21, "new", "v2", false)
		put(22, "gone", "v2", false)
		sink.Apply(watch.Update{Rows: []watch.Row{{Key: "gone", Version: 23, Deleted: true}}})
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 2, s.Upstreams().Len())
		operator.Store(21)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 3, s.Upstreams().Len())
		put(40, "newer", "v2", false)
		require.Equal(t, 4, s.Upstreams().Len(), "the version is in use")
	})
}
