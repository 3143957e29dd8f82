package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

func requireSeen(t *testing.T, f *Fleet, enough func(addresses int) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return enough(len(f.ClientAddresses("z", "west", nil))) }, 3*time.Second, 20*time.Millisecond)
}

func TestHostsFindEachOtherByTheRegistry(t *testing.T) {
	r := newFakeRegistry()
	a := startFleet(t, r, host("a", "z", "west"), nil)
	b := startFleet(t, r, host("b", "z", "west"), nil)
	for _, f := range []*Fleet{a, b} {
		requireSeen(t, f, func(addresses int) bool { return addresses == 2 })
	}
}

func TestHostsFindEachOtherBySeedsWhenTheRegistryIsDown(t *testing.T) {
	r := newFakeRegistry()
	r.down = true
	a := startFleet(t, r, host("a", "z", "west"), nil)
	b := startFleet(t, r, host("b", "z", "west"), []string{a.members.self.PeerAddress})
	c := startFleet(t, r, host("c", "z", "west"), []string{a.members.self.PeerAddress})
	for _, f := range []*Fleet{a, b, c} {
		requireSeen(t, f, func(addresses int) bool { return addresses >= 2 })
	}
}

func TestATableIsRelayed(t *testing.T) {
	r := newFakeRegistry()
	replica := watch.NewReplica()
	store := watch.NewReplica()
	a := startFleet(t, r, host("a", "z", "west"), nil, Table{Replica: replica, Store: store})
	b := startFleet(t, r, host("b", "z", "west"), nil, Table{Replica: watch.NewReplica(), Store: store})
	from := relay{fleet: b, address: a.members.self.PeerAddress}
	_, err := from.List(t.Context())
	require.ErrorIs(t, err, watch.ErrHistoryGone, "a host without data reports that it has no history")
	require.Eventually(t, func() bool { return len(b.Sources(0)) >= 1 }, time.Second, 10*time.Millisecond)
}

func TestAnUnsupportedRequestFails(t *testing.T) {
	r := newFakeRegistry()
	a := startFleet(t, r, host("a", "z", "west"), nil)
	b := startFleet(t, r, host("b", "z", "west"), nil)
	cases := []struct {
		name    string
		kind    peer.Kind
		request any
	}{
		{"of another kind", peer.KindTicket, heartbeat{}},
		{"for a table that does not exist", peer.KindChanges, relayRequest{Table: 7}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := peer.Call[relayResponse](t.Context(), b.mesh, a.members.self.PeerAddress, tc.kind, tc.request)
			require.Error(t, err)
		})
	}
}
