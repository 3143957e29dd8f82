package directory

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/verdict"
)

const doc = `
[[zone]]
name = "costa-a"
region = "costa"
[[zone]]
name = "costa-b"
region = "costa"
[[zone]]
name = "sierra-a"
region = "sierra"
[[service]]
name = "planning"
timeout = "1s"
max_timeout = "2s"
[[block]]
cidr = "10.2.0.0/16"
zone = "sierra-a"
`

var (
	knownClient   = netip.MustParseAddr("10.2.0.1")
	unknownClient = netip.MustParseAddr("10.9.0.1")
)

// newDirectory returns the Directory of costa-a-1, with the given number of other
// hosts in each of three zones.
func newDirectory(t *testing.T, others int) *Directory {
	view := configtest.View(t, doc)
	table := peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a", ClientAddr: "costa-a-1:3"})
	for _, zone := range []string{"costa-a", "costa-b", "sierra-a"} {
		for i := range others {
			name := fmt.Sprintf("%s-%d", zone, i+2)
			b := member.Heartbeat{Contact: member.Contact{Host: name, Zone: zone, PeerAddr: name + ":2", ClientAddr: name + ":3"}}
			table.Update(func(p *member.Peers) { p.RecordHeartbeat(b, time.Now(), time.Millisecond) })
		}
	}
	return New(Options{
		Zone: "costa-a", TTL: 5 * time.Second, View: view, Peers: table,
		Leaving: func() bool { return false },
	})
}

// zones returns the zones of the entries, in order.
func zones(e Entries) []string {
	var out []string
	for _, entry := range e.Entries {
		out = append(out, entry.Zone)
	}
	return out
}

// Hosts of the client's zone must come first, then those of its region, then all
// others. A client without a configured zone is treated as one of this host's zone.
func TestNearestFirst(t *testing.T) {
	d := newDirectory(t, 1)
	far := zones(d.Entries("planning", knownClient))
	require.Equal(t, "sierra-a", far[0])
	require.ElementsMatch(t, []string{"costa-a", "costa-a", "costa-b"}, far[1:], "all at the same distance")
	require.Equal(t, []string{"costa-a", "costa-a", "costa-b", "sierra-a"}, zones(d.Entries("planning", unknownClient)))
}

// A response must contain at most maxEntries hosts.
func TestEntriesAreBounded(t *testing.T) {
	contacts := map[string][]member.Contact{}
	for i := range maxEntries + 1 {
		contacts["costa-a"] = append(contacts["costa-a"], member.Contact{Host: fmt.Sprint(i), Zone: "costa-a"})
	}
	require.Len(t, newDirectory(t, 0).entries(contacts, audience{zone: "costa-a"}).Entries, maxEntries)
}

// A cached response must be used until Refresh finds that the responsive hosts
// have changed, and an unknown service must be refused.
func TestJSON(t *testing.T) {
	d := newDirectory(t, 1)
	decode := func() (e Entries) {
		body, err := d.JSON("planning", unknownClient)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(body, &e))
		return e
	}
	first := decode()
	require.Equal(t, d.Entries("planning", unknownClient), first)
	require.EqualValues(t, 5000, first.TTLMillis)
	require.EqualValues(t, 1, first.Revision)
	d.Peers.RecordFailure("costa-a-2")
	require.Equal(t, first, decode(), "the response is cached")
	d.Refresh()
	require.Len(t, decode().Entries, len(first.Entries)-1)

	_, err := d.JSON("none", unknownClient)
	require.Equal(t, verdict.UnknownService, verdict.From(err).Reason)
}
