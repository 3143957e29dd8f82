package drain

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/slot"
)

const doc = configtest.Planning + `
[[zone]]
name = "sierra-a"
region = "sierra"
[[upstream]]
name = "up-far"
service = "planning"
zone = "sierra-a"
addr = "up-far:1"
slots = 4
`

// newCounter returns the Counter of host costa-a-1, with one request at up-1.
func newCounter(t *testing.T, r roster.Roster, leaving bool) *Counter {
	view := configtest.View(t, doc)
	set := services.NewSet(view, func() float64 { return 0.5 })
	gate := set.Get("planning").Gate
	gate.Configure([]slot.Spec{{Name: "up-1", Held: 2}}, []slot.RuleSpec{{Name: "all", Upstreams: []int32{0}, InFlight: -1, Rate: -1}})
	_, refusal := gate.Acquire(context.Background(), "all", time.Time{})
	require.Equal(t, slot.Granted, refusal)
	mesh := peer.NewMesh(peer.Hello{Host: "costa-a-1"}, nil, nil)
	mesh.Close() // no other host can be reached
	return New(Options{
		Host: "costa-a-1", Zone: "costa-a", View: view, Services: set,
		Peers:   peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a"}),
		Roster:  func() roster.Roster { return r },
		Leaving: func(config.Upstream) bool { return leaving }, Mesh: mesh,
	})
}

// TestCount checks that requests of this host are counted and that hosts and zones
// that cannot be queried are unknown. Members that are gone are left out, because
// the roster waits for the deadlines of their requests.
func TestCount(t *testing.T) {
	alone := roster.Roster{Zone: "costa-a"}.WithMember(roster.Member{Host: "costa-a-1", State: roster.Active})
	with := func(s roster.State) roster.Roster {
		return alone.WithMember(roster.Member{Host: "costa-a-2", State: s})
	}
	cases := []struct {
		name      string
		upstreams []string
		roster    roster.Roster
		leaving   bool
		want      Drained
	}{
		{"taking requests", []string{"up-1"}, alone, false, Drained{Outstanding: 1, Taking: 1}},
		{"leaving", []string{"up-1"}, alone, true, Drained{Outstanding: 1}},
		{"unknown upstream", []string{"up-9"}, alone, true, Drained{}},
		{"a member cannot be queried", []string{"up-1"}, with(roster.Active), true, Drained{Outstanding: 1, Unknown: []string{"costa-a-2"}}},
		{"a leaving member cannot be queried", []string{"up-1"}, with(roster.Leaving), true, Drained{Outstanding: 1, Unknown: []string{"costa-a-2"}}},
		{"a member is gone", []string{"up-1"}, with(roster.Dead), true, Drained{Outstanding: 1}},
		{"another zone cannot be queried", []string{"up-1", "up-far"}, alone, true, Drained{Outstanding: 1, Unknown: []string{"sierra-a"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, newCounter(t, tc.roster, tc.leaving).Count(context.Background(), tc.upstreams))
		})
	}
}

// TestServeQueriesTheZoneOnlyIfRequested checks that a host that is queried only
// for itself queries no other host.
func TestServeQueriesTheZoneOnlyIfRequested(t *testing.T) {
	r := roster.Roster{Zone: "costa-a"}.WithMember(roster.Member{Host: "costa-a-2", State: roster.Active})
	c := newCounter(t, r, true)
	require.Equal(t, Drained{Outstanding: 1}, c.Serve(context.Background(), Request{Upstreams: []string{"up-1"}}))
	require.Equal(t, Drained{Outstanding: 1, Unknown: []string{"costa-a-2"}}, c.Serve(context.Background(), Request{Upstreams: []string{"up-1"}, Zone: true}))
}
