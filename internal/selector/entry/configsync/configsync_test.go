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

// replica is a Replica of costa-a-1, which is alone, with its platform.
type replica struct {
	*Replica
	memory *store.Memory
	// changed counts the configurations applied.
	changed int
}

func newReplica() *replica {
	r := &replica{memory: store.NewMemory()}
	made := time.Now()
	view := func() *config.View { return r.View() }
	random := func() float64 { return 0.5 }
	r.Replica = New(Options{
		Host: "costa-a-1", Zone: "costa-a", Random: random,
		Now:         func() int64 { return int64(time.Hour) + int64(time.Since(made)) },
		IsPoller:    func() bool { return true },
		Roster:      func() roster.Roster { return roster.Roster{Zone: "costa-a"} },
		Reconfigure: func() { r.changed++ },
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

// zoneChange is a change that adds a zone.
func zoneChange(t *testing.T, n int) config.Change {
	d, err := config.ParseDocument(fmt.Appendf(nil, "[[zone]]\nname = \"zone-%d\"\nregion = \"costa\"\n", n))
	require.NoError(t, err)
	c, err := d.Change(fmt.Sprintf("change-%d", n), uint64(n-1))
	require.NoError(t, err)
	return c
}

// TestFreshnessNeedsTheRevision: a peer that is ahead proves nothing about
// this host's revision, and a proof is as old as the way it came was long.
func TestFreshnessNeedsTheRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplica()
		rev := r.View().Revision()
		r.freshAt.Store(1)
		asked := r.Now()
		r.MergeFreshness(member.Heartbeat{Revision: rev + 1, FreshAge: 0}, asked)
		require.EqualValues(t, 1, r.freshAt.Load(), "the peer is ahead")
		r.MergeFreshness(member.Heartbeat{Revision: rev, FreshAge: -1}, asked)
		require.EqualValues(t, 1, r.freshAt.Load(), "the peer was never fresh")
		time.Sleep(3 * time.Second)
		r.freshAt.Store(1)
		r.MergeFreshness(member.Heartbeat{Revision: rev, FreshAge: 500}, asked)
		require.Equal(t, asked-int64(500*time.Millisecond), r.freshAt.Load())
		r.MergeFreshness(member.Heartbeat{Revision: rev, FreshAge: 1000}, asked)
		require.Equal(t, asked-int64(500*time.Millisecond), r.freshAt.Load(), "never older")
	})
}

// TestFrozen: a host freezes FreezeAfter its last proof, which a poll gives.
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

// TestNeverBack: changes are put in force in order, once, and a whole state
// only when it is newer.
func TestNeverBack(t *testing.T) {
	r := newReplica()
	old := r.View().State()
	one, two, three := zoneChange(t, 1).WithRevision(1), zoneChange(t, 2).WithRevision(2), zoneChange(t, 3).WithRevision(3)
	steps := []struct {
		name    string
		changes []config.Change
		want    uint64
		changed int
	}{
		{"a gap", []config.Change{two}, 0, 0},
		{"the first", []config.Change{one}, 1, 1},
		{"the first again", []config.Change{one}, 1, 1},
		{"old ones with new ones", []config.Change{one, two, three}, 3, 2},
	}
	for _, s := range steps {
		require.Equal(t, s.want, r.ServePush(context.Background(), "nobody", Push{Changes: s.changes}).Revision, s.name)
		require.Equal(t, s.changed, r.changed, s.name)
	}
	r.Adopt(old)
	require.EqualValues(t, 3, r.View().Revision())
	require.Len(t, r.recent, 3)
}

// TestRelayTree: of the hosts of a zone all but one pass a change on to at
// most relayFanout others and to the root, and every host is reached.
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
