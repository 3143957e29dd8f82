package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Heartbeats between regions grow with hosts, not with their square.
func TestHeartbeatsGoToTheRegionAndAFewHostsOfEachOther(t *testing.T) {
	now := time.Now()
	const perRegion = 40
	var all []Host
	for _, region := range []string{"west", "east", "south"} {
		all = append(all, regionHosts(region, perRegion)...)
	}
	received := map[string]int{}
	for _, self := range all {
		peers := membersOf(self, all, now).heartbeatPeers(now)
		require.Len(t, peers, perRegion-1+2*remoteFanout)
		for _, p := range peers {
			received[p.host.Name]++
		}
	}
	for _, h := range all {
		require.LessOrEqual(t, received[h.Name], perRegion-1+6*remoteFanout, "choices are spread")
	}
}

func TestADeadPeerOfAnotherRegionIsReplaced(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	var chosen []string
	for _, p := range m.heartbeatPeers(now) {
		if p.host.Region == "east" {
			chosen = append(chosen, p.host.Name)
		}
	}
	require.Len(t, chosen, remoteFanout)
	later := now.Add(deadAfter)
	for _, p := range m.named(m.indexed().names) {
		if p.host.Name != chosen[0] {
			m.recordHeartbeat(p.host, readyStatus, later)
		}
	}
	east := 0
	for _, p := range m.heartbeatPeers(later) {
		if p.host.Region == "east" {
			east++
		}
	}
	require.Equal(t, 3, east, "the dead one is tried as well as two that live")
}

// One exchange informs both hosts; the other need not begin one as well.
func TestAHeartbeatReceivedPostponesTheNextOneSent(t *testing.T) {
	f := New(Options{Self: host("west0", "west-0", "west")})
	other := host("west1", "west-0", "west")
	now := time.Now()
	f.members.recordHeartbeat(other, readyStatus, now)
	f.nextHeartbeat[other.Name] = now
	f.postpone(other.Name)
	require.Empty(t, f.due(now.Add(heartbeatEvery/2)))
	require.Len(t, f.due(now.Add(2*heartbeatEvery)), 1)
	require.Less(t, heartbeatEvery+schedulerTick+heartbeatTimeout, deadAfter, "a host that only answers is not taken for dead")
}

func TestStatusIsSentOutOfTurnOnceAPause(t *testing.T) {
	now := time.Now()
	f := New(Options{Self: host("west0", "west-0", "west")})
	other := host("west1", "west-0", "west")
	f.members.recordHeartbeat(other, readyStatus, now)
	f.nextHeartbeat[other.Name] = now.Add(time.Hour)
	f.sendSoon(now)
	require.Len(t, f.due(now), 1)
	soon := now.Add(sendSoonEvery - 1)
	f.sendSoon(soon)
	require.Empty(t, f.due(soon), "too soon")
	f.sendSoon(now.Add(sendSoonEvery))
	require.Len(t, f.due(now.Add(sendSoonEvery)), 1)
	require.Equal(t, sendSoonEvery, sendSoonPause(sendSoonHosts-1))
	require.Equal(t, 2*sendSoonEvery, sendSoonPause(sendSoonHosts), "heartbeats to a large region are rarer")
}

// While a region is cut off, a few of its hosts are tried at a time, and all of them
// in turn.
func TestDeadHostsOfAnotherRegionAreTriedAFewAtATime(t *testing.T) {
	start := time.Now()
	const hosts = 30
	all := append(regionHosts("west", 1), regionHosts("east", hosts)...)
	m := membersOf(all[0], all, start)
	tried := map[string]bool{}
	for at := start.Add(deadAfter); at.Before(start.Add(deadAfter + hosts*heartbeatRetry)); at = at.Add(heartbeatRetry) {
		peers := m.heartbeatPeers(at)
		require.Len(t, peers, maxDeadTried)
		for _, p := range peers {
			tried[p.host.Name] = true
		}
	}
	require.Len(t, tried, hosts)
	m.recordHeartbeat(all[hosts], readyStatus, start.Add(time.Hour))
	require.Contains(t, m.firstAlive(m.indexed().remote["east"], start.Add(time.Hour)), all[hosts].Name, "one that lives is kept")
}
