package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/member"
)

func contact(host, zone string) member.Contact {
	return member.Contact{Host: host, Zone: zone, PeerAddr: host + ":2"}
}

// newTable returns the table of costa-a-1 after it received the given heartbeats.
func newTable(reports ...member.Heartbeat) *Table {
	t := New(contact("costa-a-1", "costa-a"))
	for _, r := range reports {
		t.Update(func(p *member.Peers) { p.RecordHeartbeat(r, time.Now(), time.Millisecond) })
	}
	return t
}

// report returns a heartbeat of a host that reports free slots for the service
// planning.
func report(host, zone string, free int) member.Heartbeat {
	f := []member.ServiceSlots{{Service: "planning", Free: free, Held: 4, Warm: 2}}
	return member.Heartbeat{Contact: contact(host, zone), ServiceSlots: f, ZoneServiceSlots: f, Slots: member.Pack(f), ZoneSlots: member.Pack(f)}
}

// WithMostFree must choose the host with the most free slots. A full host is
// chosen only in another zone, where its queue may have free capacity.
func TestWithMostFree(t *testing.T) {
	leaving := report("costa-b-3", "costa-b", 9)
	leaving.Leaving = true
	table := newTable(
		report("costa-a-2", "costa-a", 0),
		report("costa-b-1", "costa-b", 1), report("costa-b-2", "costa-b", 3), leaving,
		report("sierra-a-1", "sierra-a", 0),
	)
	for zone, want := range map[string]string{"costa-a": "", "costa-b": "costa-b-2", "sierra-a": "sierra-a-1", "nowhere": ""} {
		t.Run(zone, func(t *testing.T) {
			c, ok := table.WithMostFree(zone, "planning", func() float64 { return 0.5 })
			require.Equal(t, want != "", ok)
			require.Equal(t, want, c.Host)
		})
	}
}

// A ticket must be looked up at the successor of a stopped issuer, otherwise at
// the issuer, otherwise at any host of the issuer's zone.
func TestIssuer(t *testing.T) {
	handover := []member.Successor{{Incarnation: "stopped", Host: "costa-b-2"}}
	table := newTable(report("costa-b-1", "costa-b", 1), report("costa-b-2", "costa-b", 1))
	table.Update(func(p *member.Peers) { p.RecordSuccessors(handover, time.Now()) })
	cases := []struct {
		name, host, incarnation string
		anyOfZone               bool
		want                    string
	}{
		{"handed over", "costa-b-1", "stopped", true, "costa-b-2"},
		{"known issuer", "costa-b-1", "running", true, "costa-b-1"},
		{"unknown issuer, first host", "costa-b-9", "running", true, "costa-b-1"},
		{"unknown issuer, forwarded by another host", "costa-b-9", "running", false, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, ok := table.ForTicket(tc.host, tc.incarnation, "costa-b", tc.anyOfZone)
			require.Equal(t, tc.want != "", ok)
			require.Equal(t, tc.want, c.Host)
		})
	}
}

// ZoneFree must not include the slots of other zones or of unresponsive hosts.
func TestZoneFreeSumsTheOwnZone(t *testing.T) {
	table := newTable(report("costa-a-2", "costa-a", 1), report("costa-a-3", "costa-a", 1), report("costa-b-1", "costa-b", 1))
	table.RecordFailure("costa-a-3")
	own := []member.ServiceSlots{{Service: "planning", Free: 2, Held: 4, Warm: 3}}
	require.Equal(t, []member.ServiceSlots{{Service: "planning", Free: 3, Held: 8, Warm: 5}}, table.ZoneFree(own))
	require.Equal(t, 2, own[0].Free, "the argument must not be modified")
}

// A zone must be reported as up while any of its hosts is responsive. The own zone
// is not reported.
func TestZoneReports(t *testing.T) {
	table := newTable(report("costa-a-2", "costa-a", 1), report("costa-b-1", "costa-b", 1), report("sierra-a-1", "sierra-a", 1))
	table.RecordFailure("sierra-a-1")
	up := map[string]bool{}
	for _, z := range table.ZoneReports(time.Now()) {
		up[z.Zone] = z.Up
	}
	require.Equal(t, map[string]bool{"costa-b": true, "sierra-a": false}, up)
	require.True(t, table.AnyUp())
	require.Equal(t, []string{"costa-a-1", "costa-a-2"}, table.UpNames())
}

// SetSelf must clear the table, and the contacts must then contain the new address
// of this host.
func TestSetSelfClearsTheTable(t *testing.T) {
	table := newTable(report("costa-a-2", "costa-a", 1))
	table.SetSelf(member.Contact{Host: "costa-a-1", Zone: "costa-a", PeerAddr: "late:2"})
	require.Empty(t, table.AllContacts())
	require.Equal(t, "late:2", table.Contacts("costa-a", false)[0].PeerAddr)
	require.Empty(t, table.Contacts("costa-a", true), "a leaving host is not announced")
}
