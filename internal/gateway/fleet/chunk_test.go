package fleet

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

// staticSource is a source with fixed rows that counts its listings.
type staticSource struct {
	rows  []watch.Row
	lists atomic.Int64
}

func (s *staticSource) List(context.Context) (watch.Page, error) {
	s.lists.Add(1)
	return watch.Page{Version: watch.Version{Era: 1, Number: 9}, Rows: s.rows}, nil
}

func (s *staticSource) Changes(ctx context.Context, _ watch.Version, wait time.Duration) (watch.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return watch.Page{Version: watch.Version{Era: 1, Number: 9}}, ctx.Err()
}

// filledReplica returns a replica of a source.
func filledReplica(t *testing.T, source watch.Source) *watch.Replica {
	t.Helper()
	replica := watch.NewReplica()
	sources := func() []watch.NamedSource { return []watch.NamedSource{{Name: "store", Source: source}} }
	newest := func() (watch.Version, time.Duration) { return watch.Version{}, 0 }
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go watch.New(replica, sources, newest, noopSink{}, watch.Timing(2*time.Second)).Run(ctx)
	require.Eventually(t, func() bool { return replica.Version().Number == 9 }, 5*time.Second, time.Millisecond)
	return replica
}

// A table that does not fit into a frame could not be relayed, so that each host that started
// listed it from the store.
func TestATableLargerThanAFrameIsRelayed(t *testing.T) {
	source := &staticSource{}
	for i := range 20000 {
		source.rows = append(source.rows, watch.Row{Key: fmt.Sprintf("i-%05d", i), Value: make([]byte, 250), Version: int64(i)})
	}
	registry := newFakeRegistry()
	a := startFleet(t, registry, host("a", "z", "west"), nil, Table{Replica: filledReplica(t, source)})
	b := startFleet(t, registry, host("b", "z", "west"), nil)
	from := relay{fleet: b, address: a.members.self.PeerAddress}
	page, err := from.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, source.rows, page.Rows)
	require.Equal(t, watch.Version{Era: 1, Number: 9}, page.Version)
	require.Equal(t, int64(1), source.lists.Load())
}

// endlessRelay announces one more chunk each time.
type endlessRelay struct {
	rows   []watch.Row
	chunks atomic.Int64
}

func (r *endlessRelay) ServePeer(_ context.Context, _ peer.Hello, _ peer.Kind, _ []byte, w *peer.Responder) {
	r.chunks.Add(1)
	_ = w.Send(relayResponse{Page: watch.Page{Rows: r.rows}, More: true})
}

// A listing whose chunks do not end was read and kept until the context ended.
func TestAListingOfARelayWithoutEndIsAnError(t *testing.T) {
	b := startFleet(t, newFakeRegistry(), host("b", "z", "west"), nil)
	for _, size := range []int{1, 900 << 10} {
		handler := &endlessRelay{rows: []watch.Row{{Key: "a", Value: make([]byte, size)}}}
		mesh := peer.NewMesh(peer.Hello{Host: "c"}, peer.TCP((&net.Dialer{}).DialContext), handler)
		address, err := mesh.Listen("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(mesh.Close)
		_, err = relay{fleet: b, address: address}.List(t.Context())
		require.ErrorContains(t, err, address)
		require.ErrorContains(t, err, "67108864 bytes")
		require.LessOrEqual(t, handler.chunks.Load()*int64(size), int64(maxListBytes+size))
		require.LessOrEqual(t, handler.chunks.Load(), int64(maxListChunks))
	}
}

// Hosts of versions without chunks ask for all rows at once, and send them so.
func TestHostsWithoutChunksRelaySmallTables(t *testing.T) {
	source := &staticSource{rows: []watch.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}}
	replica := filledReplica(t, source)
	page, more, err := relayRequest{Full: true}.read(t.Context(), replica)
	require.NoError(t, err)
	require.False(t, more)
	require.Len(t, page.Rows, 2)
	type oldRequest struct {
		Table int  `msgpack:"t"`
		Full  bool `msgpack:"w,omitempty"`
	}
	payload, err := peer.Encode(relayRequest{Full: true, Chunk: true, From: "a"})
	require.NoError(t, err)
	old, err := peer.Decode[oldRequest](payload)
	require.NoError(t, err)
	require.Equal(t, oldRequest{Full: true}, old)
}

func TestChunksHaveEachRowOnce(t *testing.T) {
	source := &staticSource{}
	for i := range 100 {
		source.rows = append(source.rows, watch.Row{Key: fmt.Sprintf("%03d", i), Value: make([]byte, i), Version: int64(i)})
	}
	replica := filledReplica(t, source)
	var rows []watch.Row
	for from, more := "", true; more; from = rows[len(rows)-1].Key {
		page, next, err := replica.Chunk(from, 200)
		require.NoError(t, err)
		rows, more = append(rows, page.Rows...), next
	}
	require.Equal(t, source.rows, rows)
	_, _, err := watch.NewReplica().Chunk("", 200)
	require.ErrorIs(t, err, watch.ErrHistoryGone)
}
