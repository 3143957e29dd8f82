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

// newFleet returns the peers of a host that knows a number of hosts in its own zone and
// in each of a number of other zones.
func newFleet(hosts, zones int) *Peers {
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

// TestHeartbeatsStayWithinTheirBudget checks the number of exchanges within one minute.
func TestHeartbeatsStayWithinTheirBudget(t *testing.T) {
	for _, tc := range []struct{ hosts, zones, exchange int }{
		{2, 5, 208}, {74, 79, 332}, {74, 79, 1000}, {300, 300, 332},
	} {
		p := newFleet(tc.hosts, tc.zones)
		for range 100 {
			p.RecordExchange(tc.exchange)
		}
		start, sent := time.Now(), 0
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(250 * time.Millisecond) {
			for _, c := range p.Due(now) {
				p.RecordSent(c.Host, now)
				sent++
			}
		}
		// The first call of Due returns all targets once. Exchanges that the host starts
		// may use half of the budget.
		first := nearFanout + farFanout*tc.zones
		require.LessOrEqual(t, (sent-first)*tc.exchange, 60*maxBytesPerSecond/2+nearFanout*tc.exchange, "%+v", tc)
		require.Greater(t, sent, first, "%+v", tc)
	}
}

func TestHostsOfOtherZonesAreLimited(t *testing.T) {
	p := newFleet(74, 3)
	require.Len(t, p.Zone("own"), 73)
	require.Len(t, p.Zone("zone-01"), maxFarHosts)
	failed := p.Zone("zone-01")[0].Contact.Host
	p.RecordFailure(failed, time.Now())
	p.AddKnown(contact("zone-01", 73))
	_, known := p.Get(failed)
	require.False(t, known, "a host that does not respond must be replaced")
	require.Len(t, p.Zone("zone-01"), maxFarHosts)
	for _, peer := range p.Zone("zone-02") {
		p.Forget(peer.Contact.Host)
	}
	require.Equal(t, []string{"own", "zone-00", "zone-01"}, p.Zones())
}

func TestUp(t *testing.T) {
	now := time.Now()
	c := contact("zone-00", 1)
	receive := func(p *Peers) { p.RecordHeartbeat(Heartbeat{Contact: c}, now, time.Millisecond) }
	cases := []struct {
		name    string
		prepare func(p *Peers)
		after   time.Duration
		want    bool
	}{
		{"no heartbeat yet", func(*Peers) {}, 0, false},
		{"a recent heartbeat", receive, time.Second, true},
		{"no recent heartbeat", receive, minDownTimeout + time.Second, false},
		{"failed", func(p *Peers) { receive(p); p.RecordFailure(c.Host, now) }, 0, false},
		{"a heartbeat after a failure", func(p *Peers) { receive(p); p.RecordFailure(c.Host, now); receive(p) }, 0, true},
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

func TestPackedSlots(t *testing.T) {
	slots := []ServiceSlots{{"a", 1, 2, 3}, {"b", 0, 5, 4}}
	require.Equal(t, slots, Unpack(Pack(slots), []string{"a", "b"}))
	require.Nil(t, Unpack(Pack(slots), []string{"a"}), "the slots belong to another revision")
	p := NewPeers(contact("own", 0))
	c := contact("zone-00", 1)
	now := time.Now()
	p.RecordHeartbeat(Heartbeat{Contact: c, Slots: Pack(slots), ServiceSlots: slots, ZoneHosts: 3}, now, time.Millisecond)
	p.RecordHeartbeat(Heartbeat{Contact: c}, now.Add(time.Second), 0)
	peer, _ := p.Get(c.Host)
	require.Equal(t, slots, peer.Heartbeat.ServiceSlots, "a heartbeat request has no slots and must not clear them")
}

func TestSuccessors(t *testing.T) {
	p := NewPeers(contact("own", 0))
	now := time.Now()
	p.AddKnown(contact("own", 1))
	p.RecordSuccessors([]Successor{{Incarnation: "gone", Host: "own-01"}}, now)
	c, ok := p.Successor("gone")
	require.True(t, ok)
	require.Equal(t, "own-01", c.Host)
	p.RecordSuccessors([]Successor{{Incarnation: "other", Host: "own-01"}}, now.Add(successorTTL+time.Second))
	_, ok = p.Successor("gone")
	require.False(t, ok, "a successor that is no longer named must be removed")
}

// TestContacts checks which hosts of a zone are sent to other hosts.
func TestContacts(t *testing.T) {
	now := time.Now()
	receive := func(p *Peers, zone string, hosts ...int) {
		for _, i := range hosts {
			p.RecordHeartbeat(Heartbeat{Contact: contact(zone, i)}, now, time.Millisecond)
		}
	}
	cases := []struct {
		name     string
		zone     string
		leaving  bool
		received []int
		want     []int
	}{
		{"own zone: this host first", "own", false, []int{1}, []int{0, 1}},
		{"own zone: without this host if it is leaving", "own", true, []int{1}, []int{1}},
		{"another zone: hosts that are up", "far", false, []int{2, 4}, []int{2, 4}},
		{"the number of contacts is limited", "own", false, []int{1, 2, 3, 4, 5, 6}, []int{0, 1, 2, 3}},
		{"no hosts without a heartbeat", "far", false, nil, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPeers(contact("own", 0))
			for i := 1; i < 7; i++ {
				p.AddKnown(contact("own", i))
				p.AddKnown(contact("far", i))
			}
			receive(p, tc.zone, tc.received...)
			var want []Contact
			for _, i := range tc.want {
				want = append(want, contact(tc.zone, i))
			}
			require.Equal(t, want, p.Contacts(tc.zone, now, tc.leaving))
		})
	}
}

// TestUpdatesBetweenHeartbeats checks that the slots and the revision in a response
// replace those of the last heartbeat, and that the revision never decreases.
func TestUpdatesBetweenHeartbeats(t *testing.T) {
	p, c := NewPeers(contact("own", 0)), contact("far", 1)
	p.RecordSlots(c.Host, ServiceSlots{Service: "a"})
	p.RecordRevision(c.Host, 9)
	_, known := p.Get(c.Host)
	require.False(t, known, "an unknown host must not be added")

	before := []ServiceSlots{{"a", 1, 2, 3}, {"b", 4, 5, 6}}
	p.RecordHeartbeat(Heartbeat{Contact: c, Slots: Pack(before), ServiceSlots: before, Revision: 5}, time.Now(), time.Millisecond)
	p.RecordSlots(c.Host, ServiceSlots{"b", 0, 5, 6})
	p.RecordSlots(c.Host, ServiceSlots{"not in the heartbeat", 1, 1, 1})
	p.RecordRevision(c.Host, 4)
	peer, _ := p.Get(c.Host)
	require.Equal(t, []ServiceSlots{{"a", 1, 2, 3}, {"b", 0, 5, 6}}, peer.Heartbeat.ServiceSlots)
	require.Equal(t, 4, before[1].Free, "the slots of the heartbeat itself must not be modified")
	require.Equal(t, uint64(5), peer.Heartbeat.Revision)
	p.RecordRevision(c.Host, 6)
	peer, _ = p.Get(c.Host)
	require.Equal(t, uint64(6), peer.Heartbeat.Revision)
}

// TestAHostThatMovesIsInOneZone checks that a host that appears in another zone is
// removed from its previous zone.
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
	require.Equal(t, []string{"other"}, p.Zones(), "the host itself must not be added")
	require.Len(t, p.Zone("other"), 1, "a host without an address must not be added")
}
