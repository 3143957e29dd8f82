package rosters

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/platformcalls"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/entry/upstreams"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
	"cairndock/internal/telemetry"
)

const (
	slots      = 4
	maxTimeout = 2 * time.Second
	doc        = configtest.Planning + `
[[rule]]
name = "all"
service = "planning"
selector = ""
share = 1.0
`
)

// host is a Membership of a host in zone costa-a with an in-memory store.
type host struct {
	*Membership
	contact member.Contact
	memory  *store.Memory
	leaving bool
	// notified counts the heartbeats to the whole zone.
	notified int
}

func newHost(t *testing.T, memory *store.Memory, name string) *host {
	view := configtest.View(t, doc)
	h := &host{memory: memory, contact: member.Contact{Host: name, Zone: "costa-a", PeerAddr: name + ":2"}}
	table := peers.New(h.contact)
	set := services.NewSet(view, func() float64 { return 0.5 })
	h.Membership = New(Options{
		Host: name, Zone: "costa-a", Region: "costa", Incarnation: NewIncarnation(), View: view,
		KnownZones: func() []string { return []string{"costa-a"} },
		Leaving:    func() bool { return h.leaving }, NewEpoch: func() {}, NotifyZone: func() { h.notified++ },
		Table: memory, HostList: memory,
		Platform: platformcalls.New(1000, telemetry.NewMetrics(), func() {}),
		Peers:    table, Services: set,
		Upstreams: upstreams.New(upstreams.Options{Host: name, View: view, Services: set, Peers: table, Log: zerolog.Nop()}),
		Mesh:      peer.NewMesh(peer.Hello{Host: name}, nil, nil), Log: zerolog.Nop(),
	})
	return h
}

func (h *host) held() int { return h.Services.Get("planning").Gate.Load().Held }

// follow makes the hosts read the roster and exchange acknowledgements.
func follow(t *testing.T, hosts ...*host) {
	for _, h := range hosts {
		_, _, err := h.readRoster(context.Background())
		require.NoError(t, err)
		h.Settle()
	}
	for _, h := range hosts {
		b := member.Heartbeat{Contact: h.contact}
		h.Describe(&b)
		for _, other := range hosts {
			require.False(t, other.MergeAck(b), "all have the newest epoch")
		}
	}
	for _, h := range hosts {
		h.Settle()
	}
}

// Guards against two hosts using one slot: the members of a zone hold all slots
// together, and a new member holds none until the others have acknowledged it.
func TestSlotsPassBetweenMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		memory := store.NewMemory()
		one, two := newHost(t, memory, "costa-a-1"), newHost(t, memory, "costa-a-2")
		require.NoError(t, one.join(ctx))
		require.Equal(t, slots, one.held(), "the only member holds all slots")
		follow(t, one)

		require.NoError(t, two.join(ctx))
		two.Settle()
		require.Zero(t, two.held(), "the first host has not acknowledged")
		follow(t, one, two)
		require.Equal(t, slots, one.held()+two.held())
		require.Positive(t, two.held())

		one.leaving = true
		one.Leave(ctx)
		require.Zero(t, one.held())
		follow(t, one, two)
		require.Equal(t, slots, two.held())
		one.Remove(ctx)
		_, known := one.Current().Member("costa-a-1")
		require.False(t, known)
	})
}

// Guards against declaring a running member dead: a member is dead only if it is
// silent and the list marks it as gone or no longer contains it. A member that
// was never listed must be silent for longer.
func TestDeathNeedsListAndSilence(t *testing.T) {
	gone := []store.HostState{{Name: "costa-a-2", State: store.Gone}}
	live := []store.HostState{{Name: "costa-a-2", State: store.Live}}
	cases := []struct {
		name    string
		before  []store.HostState
		list    []store.HostState
		silence time.Duration
		dead    bool
	}{
		{"gone, and silent", nil, gone, member.LostTimeout + 1, true},
		{"gone, but not silent long enough", nil, gone, member.LostTimeout, false},
		{"live, and silent", nil, live, unlistedTimeout + 1, false},
		{"dropped from the list, and silent", live, nil, member.LostTimeout + 1, true},
		{"never listed, and silent", nil, nil, member.LostTimeout + 1, false},
		{"never listed, and silent for long", nil, nil, unlistedTimeout + 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost(t, store.NewMemory(), "costa-a-1")
				h.Upstreams.Changed = func() {}
				h.Upstreams.MergeList(tc.before)
				h.Upstreams.MergeList(tc.list)
				other := member.Contact{Host: "costa-a-2", Zone: "costa-a", PeerAddr: "costa-a-2:2"}
				h.Peers.Update(func(p *member.Peers) {
					p.RecordHeartbeat(member.Heartbeat{Contact: other}, time.Now(), time.Millisecond)
				})
				time.Sleep(tc.silence)
				listed := map[string]store.State{}
				for _, s := range tc.list {
					listed[s.Name] = s.State
				}
				require.Equal(t, tc.dead, h.isDead("costa-a-2", listed))
			})
		})
	}
}

// A dead member must stay in the roster until the deadline of every request that
// it may have sent has passed. Removed earlier, its slots could be used twice.
func TestDeadMembersStayUntilTheirRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t, store.NewMemory(), "costa-a-1")
		dead := roster.Member{Host: "costa-a-2", Incarnation: "2", State: roster.Dead}
		r := roster.Roster{Zone: "costa-a"}.WithMember(dead)
		h.Merge(r)
		_, ok := h.withoutDead(r, dead, nil)
		require.False(t, ok)
		time.Sleep(maxTimeout + deadMargin)
		next, ok := h.withoutDead(r, dead, nil)
		require.True(t, ok)
		require.Empty(t, next.Members)
	})
}

// A host that the roster marks as dead must drop all slots and join again as a
// new incarnation.
func TestRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		h := newHost(t, store.NewMemory(), "costa-a-1")
		require.NoError(t, h.join(ctx))
		follow(t, h)
		before, _ := h.Current().Member("costa-a-1")
		r, version, err := h.readRoster(ctx)
		require.NoError(t, err)
		require.NoError(t, h.writeRoster(ctx, r.WithState("costa-a-1", roster.Dead), version))
		require.Zero(t, h.held())
		require.False(t, h.hasJoined())
		require.NoError(t, h.join(ctx))
		after, _ := h.Current().Member("costa-a-1")
		require.NotEqual(t, before.Incarnation, after.Incarnation)
	})
}

// Guards against rounding errors when a rule's in-flight limit is split over
// zones: the shares must add up to exactly the limit.
func TestZoneLimitsSumToTheLimit(t *testing.T) {
	sites := [][]int{{4}, {4, 4}, {1, 2, 3}, {0, 5}, {7, 1, 1, 1}}
	for _, slots := range sites {
		for limit := range 12 {
			t.Run(fmt.Sprintf("%d over %v", limit, slots), func(t *testing.T) {
				r := config.RuleView{}
				r.InFlight = limit
				for i, n := range slots {
					r.Sites = append(r.Sites, config.Site{Zone: fmt.Sprint(i), Slots: n})
				}
				sum, share := 0, 0.0
				for i := range slots {
					sum += zoneLimit(r, fmt.Sprint(i))
					share += zoneShare(r, fmt.Sprint(i))
				}
				require.Equal(t, limit, sum)
				require.InDelta(t, 1, share, 1e-9)
			})
		}
	}
	require.Zero(t, zoneLimit(config.RuleView{}, "nowhere"))
	require.Zero(t, zoneShare(config.RuleView{}, "nowhere"))
}
