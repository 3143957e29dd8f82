package heartbeats

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/standin"
)

// newLargeExchanger returns the Exchanger of a host in a zone of 74 hosts. It also
// has four hosts of each of 79 other zones as peers. The configuration has the
// planned size, except for the number of services, which is count.
func newLargeExchanger(tb testing.TB, count int) *Exchanger {
	size := standin.PlannedSize()
	size.Blocks, size.Services, size.Zones = 1000, count, 80
	state := config.NewState()
	for _, doc := range []config.Document{size.Objects(), size.BlocksDocument()} {
		c, err := doc.Change("c", 0)
		require.NoError(tb, err)
		state, err = state.With(c.WithRevision(state.Revision() + 1))
		require.NoError(tb, err)
	}
	r := &replica{view: config.NewView(state, "zone-00")}
	table := peers.New(member.Contact{Host: "zone-00-00", Zone: "zone-00"})
	for _, m := range standin.PlannedSize().Roster(0, 74, 1).Members {
		table.Learn([]member.Contact{{Host: m.Host, Zone: "zone-00", PeerAddr: m.PeerAddr, ClientAddr: m.ClientAddr}})
	}
	for z := 1; z < 80; z++ {
		for i := range 4 {
			c := member.Contact{Host: fmt.Sprintf("zone-%02d-%02d", z, i), Zone: fmt.Sprintf("zone-%02d", z), PeerAddr: "10.0.0.1:1", ClientAddr: "10.0.0.1:2"}
			table.Update(func(p *member.Peers) {
				p.RecordHeartbeat(member.Heartbeat{Contact: c}, time.Now().Add(time.Hour), time.Millisecond)
			})
		}
	}
	return New(Options{
		Zone: "zone-00", Peers: table, Services: services.NewSet(r.View, func() float64 { return 0.5 }),
		Config: r, Rosters: &membership{}, Upstreams: &states{},
		Successors: func() []member.Successor { return nil }, Leaving: func() bool { return false },
	})
}

// BenchmarkHeartbeat measures building, encoding, decoding and recording one
// heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	for _, count := range []int{2, 10, 22} {
		b.Run(fmt.Sprintf("services=%d", count), func(b *testing.B) {
			e := newLargeExchanger(b, count)
			size := 0
			for b.Loop() {
				from := member.Contact{Host: "zone-01-01", Zone: "zone-01"}
				request, err := peer.Encode(e.request(from))
				require.NoError(b, err)
				contacts := e.Peers.Contacts(e.Zone, false)
				response, err := peer.Encode(e.response(member.Heartbeat{Contact: from, ContactsHash: member.HashContacts(contacts)}))
				require.NoError(b, err)
				size = len(request) + len(response)
				beat, err := peer.Decode[member.Heartbeat](response)
				require.NoError(b, err)
				e.unpack(&beat)
				beat.Contact.Host = "zone-01-01"
				e.Peers.Update(func(p *member.Peers) { p.RecordHeartbeat(beat, time.Now(), time.Millisecond) })
			}
			b.ReportMetric(float64(size), "exchange-bytes")
		})
	}
}
