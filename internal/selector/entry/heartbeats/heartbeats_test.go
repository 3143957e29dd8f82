package heartbeats

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/poison"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
)

// replica, membership and states are test doubles for the components of a host;
// calls records the order of their calls.
type (
	replica struct {
		view  *config.View
		calls *[]string
	}
	membership struct {
		newer bool
		calls *[]string
	}
	states struct {
		changes bool
		calls   *[]string
	}
)

func (r *replica) View() *config.View                    { return r.view }
func (*replica) FreshAge() int64                         { return 5 }
func (*replica) MergeFreshness(member.Heartbeat, int64)  {}
func (r *replica) Fetch(context.Context, member.Contact) { *r.calls = append(*r.calls, "changes") }
func (*membership) Describe(b *member.Heartbeat) {
	b.Incarnation, b.Epoch = "00VHNCZB00REXF12R7MW9Z7CEE", 1
}
func (m *membership) MergeAck(member.Heartbeat) bool        { return m.newer }
func (m *membership) Fetch(context.Context, member.Contact) { *m.calls = append(*m.calls, "roster") }
func (m *membership) Reconfigure()                          { *m.calls = append(*m.calls, "reconfigure") }
func (*states) Statuses() []member.UpstreamStatus {
	return []member.UpstreamStatus{{Upstream: "up-1", Leaving: true}}
}
func (s *states) Merge([]member.UpstreamStatus) bool { return s.changes }

// nopObserver ignores all events of suspicions.
type nopObserver struct{}

func (nopObserver) SuspicionsChanged()                   {}
func (nopObserver) UpstreamTerminated(string, time.Time) {}
func (nopObserver) Quarantined(poison.Quarantine)        {}
func (nopObserver) Released(poison.Fingerprint, bool)    {}

// newExchanger returns the Exchanger of costa-a-1. The result up counts the calls
// of PeerUp.
func newExchanger(t *testing.T, m *membership, s *states) (e *Exchanger, calls *[]string, up *int) {
	view := configtest.View(t, configtest.Planning)
	calls, up = new([]string), new(int)
	r := &replica{view: view(), calls: calls}
	m.calls, s.calls = calls, calls
	return New(Options{
		Zone: "costa-a", Peers: peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a", PeerAddr: "costa-a-1:2"}),
		Services: services.NewSet(r.View, func() float64 { return 0.5 }), Config: r, Rosters: m, Upstreams: s,
		Suspicions: poison.NewTable("costa-a-1", time.Now(), nopObserver{}),
		Successors: func() []member.Successor { return nil }, Leaving: func() bool { return false },
		Answered: func() {}, PeerUp: func() { *up++ }, Now: func() int64 { return 1 },
	}), calls, up
}

func heartbeat(host, zone string) member.Heartbeat {
	return member.Heartbeat{Contact: member.Contact{Host: host, Zone: zone, PeerAddr: host + ":2"}, Revision: 1}
}

// Upstream states must be sent only to hosts of the same zone. Hosts of other
// zones receive the zone's slots instead.
func TestUpstreamsAreReportedWithinTheZone(t *testing.T) {
	e, _, _ := newExchanger(t, &membership{}, &states{})
	sameZone, otherZone := e.response(heartbeat("costa-a-2", "costa-a")), e.response(heartbeat("costa-b-1", "costa-b"))
	require.NotEmpty(t, sameZone.UpstreamStatuses)
	require.Empty(t, sameZone.ZoneSlots)
	require.Empty(t, otherZone.UpstreamStatuses)
	require.NotEmpty(t, otherZone.ZoneSlots)
	require.EqualValues(t, 5, otherZone.FreshAge)
}

// A peer whose hash shows that it already has the zone's contacts must receive
// only the hash.
func TestContactsAreSentOnlyWhenChanged(t *testing.T) {
	e, _, _ := newExchanger(t, &membership{}, &states{})
	received := heartbeat("costa-b-1", "costa-b")
	first := e.response(received)
	require.Len(t, first.Contacts, 1)
	received.ContactsHash = first.ContactsHash
	require.Empty(t, e.response(received).Contacts)
	e.Peers.Update(func(p *member.Peers) {
		p.RecordHeartbeat(heartbeat("costa-a-2", "costa-a"), time.Now(), time.Millisecond)
	})
	require.Len(t, e.response(received).Contacts, 2)
}

// merge must apply upstream states before it fetches anything, and fetch the
// roster or the configuration only if the peer has a newer one.
func TestMergeFetchesOnlyNewerData(t *testing.T) {
	cases := []struct {
		name     string
		newer    bool
		changes  bool
		revision uint64
		want     []string
	}{
		{"nothing new", false, false, 1, nil},
		{"an upstream's state", false, true, 1, []string{"reconfigure"}},
		{"a newer roster", true, false, 1, []string{"roster"}},
		{"a newer configuration", false, false, 2, []string{"changes"}},
		{"all", true, true, 2, []string{"reconfigure", "roster", "changes"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, calls, _ := newExchanger(t, &membership{newer: tc.newer}, &states{changes: tc.changes})
			b := heartbeat("costa-a-2", "costa-a")
			b.Revision = tc.revision
			e.merge(context.Background(), b)
			require.Equal(t, tc.want, append([]string(nil), *calls...))
		})
	}
}

// PeerUp must be called exactly when a peer becomes responsive, because the
// services then have to use its reports immediately.
func TestPeerUp(t *testing.T) {
	e, _, up := newExchanger(t, &membership{}, &states{})
	b := heartbeat("costa-b-1", "costa-b")
	e.record(b, time.Now(), time.Millisecond)
	require.Equal(t, 1, *up)
	e.record(b, time.Now(), time.Millisecond)
	require.Equal(t, 1, *up)
	e.Peers.RecordFailure("costa-b-1")
	e.record(b, time.Now(), time.Millisecond)
	require.Equal(t, 2, *up)
}

// Slots of another revision must stay packed, because they may belong to a
// different list of services.
func TestSlotsOfAnotherRevision(t *testing.T) {
	e, _, _ := newExchanger(t, &membership{}, &states{})
	b := heartbeat("costa-b-1", "costa-b")
	b.Slots = []uint32{1, 2, 3}
	e.unpack(&b)
	require.Equal(t, []member.ServiceSlots{{Service: "planning", Free: 1, Held: 2, Warm: 3}}, b.ServiceSlots)
	b.ServiceSlots, b.Revision = nil, 2
	e.unpack(&b)
	require.Empty(t, b.ServiceSlots)
}

// Suspicions must reach a host even if single heartbeats are lost, and must not be
// sent again after the host has acknowledged them.
func TestSuspicionsAreSentUntilAcknowledged(t *testing.T) {
	a, _, _ := newExchanger(t, &membership{}, &states{})
	b, _, _ := newExchanger(t, &membership{}, &states{})
	f := poison.Content{Target: "/x"}.Fingerprint()
	a.Suspicions.(*poison.Table).RecordTermination(f, poison.Attempt{Run: "up-1", Began: time.Now(), Ended: time.Now()})
	lost := a.request(member.Contact{Host: "costa-a-2", Zone: "costa-a"})
	require.Len(t, lost.Suspicions.Reports, 1)
	again := a.request(member.Contact{Host: "costa-a-2", Zone: "costa-a"})
	require.Len(t, again.Suspicions.Reports, 1)
	b.mergeSuspicions(again)
	require.True(t, b.Suspicions.(*poison.Table).Suspected(f))
	response := b.response(again)
	response.Contact.Host = "costa-a-2" // newExchanger names both hosts costa-a-1
	a.mergeSuspicions(response)
	require.Empty(t, a.request(member.Contact{Host: "costa-a-2", Zone: "costa-a"}).Suspicions.Reports, "costa-a-2 has the suspicion")
	require.Len(t, a.request(member.Contact{Host: "costa-a-3", Zone: "costa-a"}).Suspicions.Reports, 1, "costa-a-3 does not have it")
}
