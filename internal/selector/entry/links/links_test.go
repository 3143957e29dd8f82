package links

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/link"
	"cairndock/internal/selector/member"
)

const (
	limit = 1_000_000 // bytes per second, from costa to sierra
	doc   = `
[[zone]]
name = "costa-a"
region = "costa"
[[zone]]
name = "sierra-a"
region = "sierra"
[[zone]]
name = "marmara-a"
region = "marmara"
[[link]]
from = "costa"
to = "sierra"
bytes_per_second = 1000000
`
)

// newLinks returns the Links of a host that started an hour ago, in a zone with the
// given number of hosts.
func newLinks(t *testing.T, hosts int) *Links {
	l := startedLinks(t, hosts)
	l.started = time.Now().Add(-time.Hour)
	return l
}

// startedLinks returns the Links of a host that has just started.
func startedLinks(t *testing.T, hosts int) *Links {
	view := configtest.View(t, doc)
	return New(Options{
		Host: "costa-a-1", Zone: "costa-a", Region: "costa", View: view,
		Peers:     peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a"}),
		ZoneHosts: func() int { return hosts },
	})
}

// TestOnlyLimitedLinksArePaced checks that traffic within the region, to a region
// without a limit and to an unknown zone is neither delayed nor counted.
func TestOnlyLimitedLinksArePaced(t *testing.T) {
	for zone, counted := range map[string]int64{"costa-a": 0, "marmara-a": 0, "nowhere": 0, "sierra-a": 100} {
		t.Run(zone, func(t *testing.T) {
			l := newLinks(t, 1)
			require.NoError(t, l.Wait(context.Background(), "planning", zone, 100))
			require.Equal(t, counted, l.Sent("sierra")+l.Sent("marmara")+l.Sent("costa"))
			require.LessOrEqual(t, l.Chunk(zone), link.MaxChunk)
		})
	}
}

// TestHostsShareALinkEvenly checks that each host of the region starts with the same
// share of the link.
func TestHostsShareALinkEvenly(t *testing.T) {
	for _, hosts := range []int{1, 2, 4} {
		l := newLinks(t, hosts)
		got, ok := l.View().Link("costa", "sierra")
		require.True(t, ok)
		require.InDelta(t, limit/float64(hosts), l.evenShare(got), 1)
	}
}

// TestZonesOfARegionShareALink checks that a zone that has not reported its hosts is
// assumed to have as many hosts as the own zone, and that zones of other regions are
// not counted.
func TestZonesOfARegionShareALink(t *testing.T) {
	l := newLinks(t, 3)
	d, err := config.ParseDocument([]byte("[[zone]]\nname = \"costa-b\"\nregion = \"costa\"\n"))
	require.NoError(t, err)
	c, err := d.Change("second", 1)
	require.NoError(t, err)
	s, err := l.View().State().With(c.WithRevision(2))
	require.NoError(t, err)
	view := config.NewView(s, "costa-a")
	l.View = func() *config.View { return view }
	require.Equal(t, 3+3, l.regionHosts())
	b := member.Heartbeat{Contact: member.Contact{Host: "costa-b-1", Zone: "costa-b", PeerAddr: "costa-b-1:2"}, ZoneHosts: 5, Slots: []uint32{}}
	l.Peers.Update(func(p *member.Peers) { p.RecordHeartbeat(b, time.Now(), time.Millisecond) })
	require.Equal(t, 3+5, l.regionHosts())
	require.Len(t, l.lenders(), 1)
}

// TestAStartingHostReservesRateForEarlierLoans checks that a starting host neither
// lends nor uses rate that its previous process may have lent. Such loans may still be
// in use, and the limit of the link would be exceeded.
func TestAStartingHostReservesRateForEarlierLoans(t *testing.T) {
	l := startedLinks(t, 2)
	require.Zero(t, l.Lend(LoanRequest{Host: "costa-a-2", To: "sierra"}))
	require.Less(t, l.pacers["sierra"].loans.Rate(limit/2, time.Now()), float64(limit)/4)
}

// TestLoansStayBelowTheEvenShare checks that a host lends less than its share, and that
// no loan is granted for a link without a limit.
func TestLoansStayBelowTheEvenShare(t *testing.T) {
	l := newLinks(t, 2)
	rate := l.Lend(LoanRequest{Host: "costa-a-2", To: "sierra"})
	require.Positive(t, rate)
	require.Less(t, rate, float64(limit)/2)
	require.Less(t, l.pacers["sierra"].loans.Rate(limit/2, time.Now()), float64(limit)/2, "the lender sends less")
	require.Zero(t, l.Lend(LoanRequest{Host: "costa-a-2", To: "marmara"}))
}
