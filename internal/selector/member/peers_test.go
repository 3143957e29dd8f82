package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func contact(zone string, i int) Contact {
	name := fmt.Sprintf("%s-%02d", zone, i)
	return Contact{Host: name, Zone: zone, PeerAddr: name + ":1", ClientAddr: name + ":2"}
}

// fleet makes a host that knows a zone of its own and others.
func fleet(hosts, zones int) *Peers {
	p := NewPeers(contact("own", 0))
	for i := 1; i < hosts; i++ {
		p.AddKnown(contact("own", i))
	}
	for z := range zones {
		for i := range hosts {
			p.AddKnown(contact(fmt.Sprintf("zone-%02d", z), i))
		}
	}
	return p
}

// TestHeartbeatsKeepTheirBudget counts the exchanges of a minute.
func TestHeartbeatsKeepTheirBudget(t *testing.T) {
	for _, tc := range []struct{ hosts, zones, exchange int }{
		{2, 5, 208}, {74, 79, 332}, {74, 79, 1000}, {300, 300, 332},
	} {
		p := fleet(tc.hosts, tc.zones)
		for range 100 {
			p.RecordExchange(tc.exchange)
		}
		start, asked := time.Now(), 0
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(250 * time.Millisecond) {
			for _, c := range p.Due(now) {
				p.RecordSent(c.Host, now)
				asked++
			}
		}
		// The first turn asks everybody, once; asking is half of the budget.
		first := zoneFanout + farFanout*tc.zones
		require.LessOrEqual(t, (asked-first)*tc.exchange, 60*bytesPerSecond/2+zoneFanout*tc.exchange, "%+v", tc)
		require.Greater(t, asked, first, "%+v", tc)
	}
}

func TestOtherZonesStayBounded(t *testing.T) {
	p := fleet(74, 3)
	require.Len(t, p.Zone("own"), 73)
	require.Len(t, p.Zone("zone-01"), maxFarHosts)
	failed := p.Zone("zone-01")[0].Contact.Host
	p.RecordFailure(failed, time.Now())
	p.AddKnown(contact("zone-01", 73))
	_, known := p.Get(failed)
	require.False(t, known, "one that does not respond makes room")
	require.Len(t, p.Zone("zone-01"), maxFarHosts)
	for _, peer := range p.Zone("zone-02") {
		p.Forget(peer.Contact.Host)
	}
	require.Equal(t, []string{"own", "zone-00", "zone-01"}, p.Zones())
}

func TestUp(t *testing.T) {
	now := time.Now()
	c := contact("zone-00", 1)
	heard := func(p *Peers) { p.RecordHeartbeat(Heartbeat{Contact: c}, now, time.Millisecond) }
	cases := []struct {
		name    string
		prepare func(p *Peers)
		after   time.Duration
		want    bool
	}{
		{"known only", func(*Peers) {}, 0, false},
		{"heard", heard, time.Second, true},
		{"silent", heard, downAfter + time.Second, false},
		{"failed", func(p *Peers) { heard(p); p.RecordFailure(c.Host, now) }, 0, false},
		{"heard again", func(p *Peers) { heard(p); p.RecordFailure(c.Host, now); heard(p) }, 0, true},
		{"leaving", func(p *Peers) { p.RecordHeartbeat(Heartbeat{Contact: c, Leaving: true}, now, 0) }, 0, false},
		{"an old heartbeat after a newer one", func(p *Peers) {
			p.RecordHeartbeat(Heartbeat{Contact: c, Leaving: true}, now, 0)
			p.RecordHeartbeat(Heartbeat{Contact: c}, now.Add(-time.Second), 0)
		}, 0, false},
	}
	for _, tc := range cases {
		p := NewPeers(contact("own", 0))
		p.AddKnown(c)
		tc.prepare(p)
		peer, ok := p.Get(c.Host)
		require.True(t, ok)
		require.Equal(t, tc.want, peer.Up(now.Add(tc.after)), tc.name)
	}
}

func TestSlotsAreSentPacked(t *testing.T) {
	free := []ServiceSlots{{"a", 1, 2, 3}, {"b", 0, 5, 4}}
	require.Equal(t, free, Unpack(Pack(free), []string{"a", "b"}))
	require.Nil(t, Unpack(Pack(free), []string{"a"}), "of another revision")
	p := NewPeers(contact("own", 0))
	c := contact("zone-00", 1)
	now := time.Now()
	p.RecordHeartbeat(Heartbeat{Contact: c, Slots: Pack(free), ServiceSlots: free, ZoneHosts: 3}, now, time.Millisecond)
	p.RecordHeartbeat(Heartbeat{Contact: c}, now.Add(time.Second), 0)
	peer, _ := p.Get(c.Host)
	require.Equal(t, free, peer.Heartbeat.ServiceSlots, "a heartbeat that asks has no slots and clears none")
}

func TestSuccessors(t *testing.T) {
	p := NewPeers(contact("own", 0))
	now := time.Now()
	p.AddKnown(contact("own", 1))
	p.RecordSuccessors([]Successor{{Incarnation: "gone", Host: "own-01"}}, now)
	c, ok := p.Successor("gone")
	require.True(t, ok)
	require.Equal(t, "own-01", c.Host)
	p.RecordSuccessors([]Successor{{Incarnation: "other", Host: "own-01"}}, now.Add(successorAge+time.Second))
	_, ok = p.Successor("gone")
	require.False(t, ok, "forgotten when no longer named")
}

// TestContacts holds which hosts of a zone are named to others.
func TestContacts(t *testing.T) {
	now := time.Now()
	hear := func(p *Peers, zone string, hosts ...int) {
		for _, i := range hosts {
			p.RecordHeartbeat(Heartbeat{Contact: contact(zone, i)}, now, time.Millisecond)
		}
	}
	cases := []struct {
		name    string
		zone    string
		leaving bool
		heard   []int
		want    []int
	}{
		{"of the own zone this host first", "own", false, []int{1}, []int{0, 1}},
		{"not this host when it is leaving", "own", true, []int{1}, []int{1}},
		{"of another zone those that are up", "far", false, []int{2, 4}, []int{2, 4}},
		{"a few only", "own", false, []int{1, 2, 3, 4, 5, 6}, []int{0, 1, 2, 3}},
		{"none that was never heard of", "far", false, nil, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPeers(contact("own", 0))
			for i := 1; i < 7; i++ {
				p.AddKnown(contact("own", i))
				p.AddKnown(contact("far", i))
			}
			hear(p, tc.zone, tc.heard...)
			var want []Contact
			for _, i := range tc.want {
				want = append(want, contact(tc.zone, i))
			}
			require.Equal(t, want, p.Contacts(tc.zone, now, tc.leaving))
		})
	}
}

// TestNotesBetweenHeartbeats: what a response says of a host replaces what its
// last heartbeat said, and never goes back.
func TestNotesBetweenHeartbeats(t *testing.T) {
	p, c := NewPeers(contact("own", 0)), contact("far", 1)
	p.RecordSlots(c.Host, ServiceSlots{Service: "a"})
	p.RecordRevision(c.Host, 9)
	_, known := p.Get(c.Host)
	require.False(t, known, "of an unknown host")

	before := []ServiceSlots{{"a", 1, 2, 3}, {"b", 4, 5, 6}}
	p.RecordHeartbeat(Heartbeat{Contact: c, Slots: Pack(before), ServiceSlots: before, Revision: 5}, time.Now(), time.Millisecond)
	p.RecordSlots(c.Host, ServiceSlots{"b", 0, 5, 6})
	p.RecordSlots(c.Host, ServiceSlots{"not in the heartbeat", 1, 1, 1})
	p.RecordRevision(c.Host, 4)
	peer, _ := p.Get(c.Host)
	require.Equal(t, []ServiceSlots{{"a", 1, 2, 3}, {"b", 0, 5, 6}}, peer.Heartbeat.ServiceSlots)
	require.Equal(t, 4, before[1].Free, "the heartbeat's own slots are not changed")
	require.Equal(t, uint64(5), peer.Heartbeat.Revision)
	p.RecordRevision(c.Host, 6)
	peer, _ = p.Get(c.Host)
	require.Equal(t, uint64(6), peer.Heartbeat.Revision)
}

// TestAHostThatMovesIsInOneZone: a host that is learnt of in another zone is no
// longer in the one before.
func TestAHostThatMovesIsInOneZone(t *testing.T) {
	p, c := NewPeers(contact("own", 0)), contact("far", 1)
	p.AddKnown(c)
	c.Zone = "other"
	p.AddKnown(c)
	require.Equal(t, []string{"other"}, p.Zones())
	require.Empty(t, p.Zone("far"))
	require.Len(t, p.Zone("other"), 1)
	p.AddKnown(contact("own", 0))
	p.AddKnown(Contact{Host: "without an address", Zone: "other"})
	require.Equal(t, []string{"other"}, p.Zones(), "not the host itself")
	require.Len(t, p.Zone("other"), 1, "nor one that can't be reached")
}
