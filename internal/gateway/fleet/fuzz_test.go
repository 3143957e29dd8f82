package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

// FuzzPeerMessages checks that any message of a peer is either decoded or rejected. The
// corpora run as plain tests.
func FuzzPeerMessages(f *testing.F) {
	for _, message := range []any{
		heartbeat{Host: Host{Name: "h", Zone: "z", Region: "r", Incarnation: "1"}, Status: Status{Ready: true, Changes: []int64{1, -2},
			Observations: []outlier.Observation{{Upstream: "i@1", Failures: 3}}}},
		heartbeat{Host: Host{Name: "h", Zone: "z", Region: "r"}, Loads: encodeLoads(5, receivedLoad{RunKey("u"), 3, 0}, receivedLoad{RunKey("v"), 1, -time.Millisecond})},
		relayRequest{Table: -1, Full: true, After: -1, Wait: -time.Second},
		relayRequest{Full: true, Chunk: true, From: "k"},
		rolloutReport{Host: "h", Report: rollout.Report{"s": {Order: -1, Evidence: rollout.Evidence{
			Routes: map[string]rollout.RouteEvidence{"r": {Others: rollout.Outcomes{Latency: rollout.Histogram{-5: 1, 999: 2}}}},
			Groups: map[int]rollout.GroupOutcomes{-1: {Ended: 1}, 99: {Ended: -1}},
		}}}},
		rollout.Reply{"s": {Order: 7, Suspend: true, Slow: map[string]time.Duration{"r": -1}}},
		relayResponse{Page: watch.Page{Rows: []watch.Row{{Key: "k", Value: []byte("x"), Compressed: true}}, Version: watch.Version{Number: -1}}},
		relayResponse{Page: watch.Page{Age: -time.Second}, Held: new(time.Duration(math.MinInt64))},
		relayResponse{Page: watch.Page{Age: maxRelayAge - 1}, Held: new(-time.Duration(math.MaxInt64 - 1))},
	} {
		text, err := msgpack.Marshal(message)
		require.NoError(f, err)
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	f.Add([]byte{})
	sharing := newLoadsHost(Host{Name: "self", Zone: "z", Region: "r"}, &fakeLoads{runs: []upstream.Run{"u", "v"}})
	f.Fuzz(func(t *testing.T, payload []byte) {
		if b, err := peer.Decode[heartbeat](payload); err == nil {
			m := newMembers(Host{Name: "self", Zone: "z", Region: "r"}, []string{"r"}, time.Now())
			m.recordHeartbeat(b.Host, b.Status, time.Now())
			require.LessOrEqual(t, m.size(), 2)
			sharing.requireBounded(t, b.Loads)
		}
		sharing.requireBounded(t, payload)
		if r, err := peer.Decode[relayRequest](payload); err == nil {
			ctx := t.Context()
			_, _, _ = relayRequest{Table: r.Table, After: r.After, Full: r.Full, Chunk: r.Chunk, From: r.From}.read(ctx, watch.NewReplica())
		}
		if r, err := peer.Decode[rolloutReport](payload); err == nil {
			rollout.NewTable(rollout.TableOptions{}).Receive(r.Host, r.Report, time.Now())
		}
		if r, err := peer.Decode[rollout.Reply](payload); err == nil {
			table := rollout.NewTable(rollout.TableOptions{Observer: noObserver{}})
			table.SetOrders(map[string]rollout.Order{"s": {Service: "s", Target: "v2", Version: 7}})
			table.Apply(r, time.Now())
			table.Report(time.Now())
		}
		if r, err := peer.Decode[relayResponse](payload); err == nil {
			for _, row := range r.Page.Rows {
				_, _ = row.Bytes()
			}
			before := max(0, r.Page.Age)
			r.addTransit(time.Minute)
			require.GreaterOrEqual(t, r.Page.Age, before)
			require.LessOrEqual(t, r.Page.Age-before, time.Minute)
		}
	})
}

// requireBounded checks that only load reports within the bounds are used.
func (h loadsHost) requireBounded(t *testing.T, message []byte) {
	h.loads.merged = nil
	h.mergeLoads(heartbeat{Host: Host{Name: "h", Zone: "z"}, Loads: message}, time.Now())
	require.LessOrEqual(t, len(h.loads.merged), maxLoadReports)
	for _, r := range h.loads.merged {
		require.Contains(t, h.loads.runs, r.Run)
		require.True(t, r.Age >= 0 && r.Age <= maxLoadReportAge && r.Requests >= 0 && r.Requests <= maxReportedRequests, r)
	}
}

// noObserver is an observer of orders that drops them.
type noObserver struct{ rollout.Observer }

func (noObserver) RolloutOrdered(rollout.Order, bool) {}
