package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
	"cairndock/internal/settings"
)

// newLargeState returns a configuration of the planned size, except for the given
// numbers of blocks, services and zones.
func newLargeState(tb testing.TB, blocks, services, zones int) *config.State {
	size := standin.PlannedSize()
	size.Blocks, size.Services, size.Zones = blocks, services, zones
	s := config.NewState()
	for _, doc := range []config.Document{size.Objects(), size.BlocksDocument()} {
		c, err := doc.Change("c", 0)
		require.NoError(tb, err)
		s, err = s.With(c.WithRevision(s.Revision() + 1))
		require.NoError(tb, err)
	}
	return s
}

// newLargeHost returns a host that has a configuration in force, is in a zone of 74
// hosts, and has four hosts of each of 79 other zones as peers.
func newLargeHost(tb testing.TB, s *config.State) *Host {
	memory := store.NewMemory()
	set := servesettings.Settings{
		Host:    settings.Host{Name: "zone-00-00", Zone: "zone-00", Region: "region-00"},
		Callers: servesettings.Callers{TTL: settings.Duration(5 * time.Second)},
	}
	Default(&set)
	h := New(Options{
		Settings: set, Table: memory, Objects: memory, Hosts: memory, Transport: peer.TCP((&net.Dialer{}).DialContext), Log: zerolog.Nop(),
		Traces: sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())),
	})
	h.rosters.Merge(newLargeRoster(74))
	h.config.Adopt(s)
	for z := 1; z < 80; z++ {
		for i := range 4 {
			c := member.Contact{Host: fmt.Sprintf("zone-%02d-%02d", z, i), Zone: fmt.Sprintf("zone-%02d", z), PeerAddr: "10.0.0.1:1", ClientAddr: "10.0.0.1:2"}
			h.peers.Update(func(p *member.Peers) {
				p.RecordHeartbeat(member.Heartbeat{Contact: c}, time.Now().Add(time.Hour), time.Millisecond)
			})
		}
	}
	return h
}

// newLargeRoster returns a roster with the given number of hosts.
func newLargeRoster(hosts int) roster.Roster { return standin.PlannedSize().Roster(0, hosts, 1) }

// heapMB returns the size of the live heap, in megabytes.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// BenchmarkEntries measures the directory lookup of clients by the number of
// blocks in the configuration.
func BenchmarkEntries(b *testing.B) {
	for _, blocks := range []int{26_000, 130_000, 260_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			before := heapMB()
			s := newLargeState(b, blocks, 1, 80)
			h := newLargeHost(b, s)
			heap := heapMB() - before
			addrs := make([]netip.Addr, 1024)
			for i := range addrs {
				addrs[i] = standin.Size{}.BlockAddr(i*251%blocks, 7)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				if _, err := h.EntriesFor("service-0", addrs[i%len(addrs)]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(heap, "heap-MB")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkChange measures putting a change in force by the size of the
// configuration.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{2, 10, 22} {
		b.Run(fmt.Sprintf("sites=%d", services*80), func(b *testing.B) {
			before := heapMB()
			h := newLargeHost(b, newLargeState(b, 1000, services, 80))
			heap := heapMB() - before
			for b.Loop() {
				doc := config.Document{Rules: []config.Rule{{Name: "service-0-all", Service: "service-0", Selector: "tier=main", Share: 1}}}
				c, err := doc.Change("c", 0)
				require.NoError(b, err)
				c = c.WithRevision(h.View().Revision() + 1)
				in := h.config.ServePush(context.Background(), "", configsync.Push{Changes: []config.Change{c}})
				require.Equal(b, c.Revision, in.Revision)
			}
			b.ReportMetric(heap, "heap-MB")
		})
	}
}

// BenchmarkBlockChange measures changing one block by the number of blocks.
func BenchmarkBlockChange(b *testing.B) {
	for _, blocks := range []int{26_000, 130_000, 260_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			h := newLargeHost(b, newLargeState(b, blocks, 1, 80))
			for b.Loop() {
				doc := config.Document{Blocks: []config.Block{{CIDR: "1.0.0.0/24", Zone: "zone-03"}}}
				c, err := doc.Change("c", 0)
				require.NoError(b, err)
				c = c.WithRevision(h.View().Revision() + 1)
				in := h.config.ServePush(context.Background(), "", configsync.Push{Changes: []config.Change{c}})
				require.Equal(b, c.Revision, in.Revision)
			}
		})
	}
}

// BenchmarkRosterChange measures merging a new epoch by the number of hosts in the
// zone.
func BenchmarkRosterChange(b *testing.B) {
	for _, hosts := range []int{2, 20, 74} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			h := newLargeHost(b, newLargeState(b, 1000, 22, 80))
			r := newLargeRoster(hosts)
			r.Epoch = 10
			for b.Loop() {
				r.Epoch++
				h.rosters.Merge(r)
			}
		})
	}
}

// BenchmarkTick measures one tick of a host's loop, which runs four times per
// second.
func BenchmarkTick(b *testing.B) {
	for _, services := range []int{2, 10, 22} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			h := newLargeHost(b, newLargeState(b, 1000, services, 80))
			for b.Loop() {
				h.peers.Update(func(p *member.Peers) { p.Due(time.Now()) })
				h.rosters.Settle()
				h.refreshServices()
			}
		})
	}
}

// BenchmarkSnapshot measures writing and reading the whole configuration.
func BenchmarkSnapshot(b *testing.B) {
	for _, blocks := range []int{26_000, 260_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			s := newLargeState(b, blocks, 22, 80)
			size := 0
			for b.Loop() {
				var snap bytes.Buffer
				require.NoError(b, s.WriteSnapshot(&snap))
				size = snap.Len()
				_, err := config.ReadSnapshot(&snap)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
