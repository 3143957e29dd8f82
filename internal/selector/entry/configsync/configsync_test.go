package configsync

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
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/platformcalls"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
	"cairndock/internal/telemetry"
)

// replica is a Replica of the host costa-a-1, without peers and with an in-memory
// store.
type replica struct {
	*Replica
	memory *store.Memory
	// reconfigured counts the calls of Reconfigure.
	reconfigured int
}

func newReplica() *replica {
	r := &replica{memory: store.NewMemory()}
	start := time.Now()
	view := func() *config.View { return r.View() }
	random := func() float64 { return 0.5 }
	r.Replica = New(Options{
		Host: "costa-a-1", Zone: "costa-a", Random: random,
		Now:         func() int64 { return int64(time.Hour) + int64(time.Since(start)) },
		IsPoller:    func() bool { return true },
		Roster:      func() roster.Roster { return roster.Roster{Zone: "costa-a"} },
		Reconfigure: func() { r.reconfigured++ },
		Confirmed:   func() {},
		ChangeLog:   config.NewLog(r.memory, r.memory),
		Platform:    platformcalls.New(1000, telemetry.NewMetrics(), func() {}),
		Peers:       peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a"}),
		Services:    services.NewSet(view, random),
		Mesh:        peer.NewMesh(peer.Hello{Host: "costa-a-1"}, nil, nil),
		Metrics:     telemetry.NewMetrics(), Log: zerolog.Nop(),
	})
	return r
}

// zoneChange returns a change that adds the zone zone-n.
func zoneChange(t *testing.T, n int) config.Change {
	d, err := config.ParseDocument(fmt.Appendf(nil, "[[zone]]\nname = \"zone-%d\"\nregion = \"costa\"\n", n))
	require.NoError(t, err)
	c, err := d.Change(fmt.Sprintf("change-%d", n), uint64(n-1))
	require.NoError(t, err)
	return c
}

// Guards against a host that takes a stale configuration for fresh: a peer with a
// higher revision proves nothing about this host's revision, and the age of a
// proof includes the time of the exchange that delivered it.
func TestFreshnessNeedsTheRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplica()
		rev := r.View().Revision()
		r.freshAt.Store(1)
		requestedAt := r.Now()
		r.MergeFreshness(member.Heartbeat{Revision: rev + 1, FreshAge: 0}, requestedAt)
		require.EqualValues(t, 1, r.freshAt.Load(), "the peer is ahead")
		r.MergeFreshness(member.Heartbeat{Revision: rev, FreshAge: -1}, requestedAt)
		require.EqualValues(t, 1, r.freshAt.Load(), "the peer was never fresh")
		time.Sleep(3 * time.Second)
		r.freshAt.Store(1)
		r.MergeFreshness(member.Heartbeat{Revision: rev, FreshAge: 500}, requestedAt)
		require.Equal(t, requestedAt-int64(500*time.Millisecond), r.freshAt.Load())
		r.MergeFreshness(member.Heartbeat{Revision: rev, FreshAge: 1000}, requestedAt)
		require.Equal(t, requestedAt-int64(500*time.Millisecond), r.freshAt.Load(), "an older proof changes nothing")
	})
}

// A host must freeze FreezeAfter after its latest proof of freshness, which a
// poll yields.
func TestFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplica()
		require.True(t, r.Frozen(), "never confirmed")
		require.EqualValues(t, -1, r.FreshAge())
		_, _, err := r.ChangeLog.Append(context.Background(), config.NewState(), zoneChange(t, 1))
		require.NoError(t, err)
		require.NoError(t, r.poll(context.Background()))
		require.False(t, r.Frozen())
		require.EqualValues(t, 1, r.FreshAge(), "rounded up")
		time.Sleep(FreezeAfter)
		require.False(t, r.Frozen())
		time.Sleep(time.Nanosecond)
		require.True(t, r.Frozen())
	})
}

// A host's revision must never decrease: each change is put in force in order and
// once, and a whole state only if it is newer.
func TestRevisionNeverDecreases(t *testing.T) {
	r := newReplica()
	old := r.View().State()
	one, two, three := zoneChange(t, 1).WithRevision(1), zoneChange(t, 2).WithRevision(2), zoneChange(t, 3).WithRevision(3)
	steps := []struct {
		name         string
		changes      []config.Change
		want         uint64
		reconfigured int
	}{
		{"a gap", []config.Change{two}, 0, 0},
		{"the first", []config.Change{one}, 1, 1},
		{"the first again", []config.Change{one}, 1, 1},
		{"old and new changes", []config.Change{one, two, three}, 3, 2},
	}
	for _, s := range steps {
		require.Equal(t, s.want, r.ServePush(context.Background(), "nobody", Push{Changes: s.changes}).Revision, s.name)
		require.Equal(t, s.reconfigured, r.reconfigured, s.name)
	}
	r.Adopt(old)
	require.EqualValues(t, 3, r.View().Revision())
	require.Len(t, r.recent, 3)
}

// A relay must reach every host of a zone, and no host relays a change to more
// than relayFanout hosts and the root.
func TestRelayTree(t *testing.T) {
	const hosts, revision = 20, 7
	name := func(i int) string { return fmt.Sprintf("costa-a-%d", i+1) }
	reached := map[string]int{}
	for i := range hosts {
		r := newReplica()
		r.Host = name(i)
		r.Peers = peers.New(member.Contact{Host: r.Host, Zone: r.Zone})
		for j := range hosts {
			if j != i {
				b := member.Heartbeat{Contact: member.Contact{Host: name(j), Zone: r.Zone, PeerAddr: name(j)}}
				r.Peers.Update(func(p *member.Peers) { p.RecordHeartbeat(b, time.Now(), time.Millisecond) })
			}
		}
		targets := r.relayTargets(revision)
		require.LessOrEqual(t, len(targets), relayFanout+1)
		for _, c := range targets {
			require.NotEqual(t, r.Host, c.Host)
			reached[c.Host]++
		}
	}
	require.Len(t, reached, hosts)
}
