package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/warmup"
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
	later := now.Add(deadTimeout)
	for _, p := range m.peersByName(m.indexed().names) {
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
	require.Empty(t, f.due(now.Add(heartbeatInterval/2)))
	require.Len(t, f.due(now.Add(2*heartbeatInterval)), 1)
	require.Less(t, heartbeatInterval+schedulerTick+heartbeatTimeout, deadTimeout, "a host that only answers is not taken for dead")
}

func TestStatusIsSentOutOfTurnOnceAPause(t *testing.T) {
	now := time.Now()
	f := New(Options{Self: host("west0", "west-0", "west")})
	other := host("west1", "west-0", "west")
	f.members.recordHeartbeat(other, readyStatus, now)
	f.nextHeartbeat[other.Name] = now.Add(time.Hour)
	f.triggerHeartbeats(now)
	require.Len(t, f.due(now), 1)
	soon := now.Add(minTriggerInterval - 1)
	f.triggerHeartbeats(soon)
	require.Empty(t, f.due(soon), "too soon")
	f.triggerHeartbeats(now.Add(minTriggerInterval))
	require.Len(t, f.due(now.Add(minTriggerInterval)), 1)
	require.Equal(t, minTriggerInterval, triggerInterval(triggerHostStep-1))
	require.Equal(t, 2*minTriggerInterval, triggerInterval(triggerHostStep), "heartbeats to a large region are rarer")
}

// While a region is cut off, a few of its hosts are tried at a time, and all of them
// in turn.
func TestDeadHostsOfAnotherRegionAreTriedAFewAtATime(t *testing.T) {
	start := time.Now()
	const hosts = 30
	all := append(regionHosts("west", 1), regionHosts("east", hosts)...)
	m := membersOf(all[0], all, start)
	tried := map[string]bool{}
	for at := start.Add(deadTimeout); at.Before(start.Add(deadTimeout + hosts*deadHeartbeatInterval)); at = at.Add(deadHeartbeatInterval) {
		peers := m.heartbeatPeers(at)
		require.Len(t, peers, maxDeadProbes)
		for _, p := range peers {
			tried[p.host.Name] = true
		}
	}
	require.Len(t, tried, hosts)
	m.recordHeartbeat(all[hosts], readyStatus, start.Add(time.Hour))
	require.Contains(t, m.firstAlive(m.indexed().remote["east"], start.Add(time.Hour)), all[hosts].Name, "one that lives is kept")
}

// zonesOf returns hosts of one region in three zones, of which the first of each zone
// are large.
func zonesOf(largePerZone, smallPerZone int) []Host {
	var all []Host
	for zone := range 3 {
		for i, h := range largeAndSmall("west", largePerZone, smallPerZone) {
			h.Name, h.Zone = fmt.Sprint("west-", zone, "-", i), fmt.Sprint("west-", zone)
			all = append(all, h)
		}
	}
	return all
}

// Each of 98 hosts of a region exchanged heartbeats with each other: 30 KB a second of a
// host with 0.16 cores, seven times what a node may spend on control.
func TestAHostExchangesHeartbeatsWithItsZoneAndTheFirstHostsOfItsRegion(t *testing.T) {
	now := time.Now()
	all := zonesOf(3, 30)
	for _, self := range all {
		m := membersOf(self, all, now)
		large, zone, others := 0, 0, 0
		for _, p := range m.heartbeatPeers(now) {
			switch {
			case isLarge(p.host.Capacity, 800):
				large++
			case p.host.Zone == self.Zone:
				zone++
			default:
				others++
			}
		}
		if isLarge(self.Capacity, 800) {
			require.Equal(t, []int{8, 30, 60}, []int{large, zone, others}, self.Name)
			continue
		}
		require.Equal(t, []int{9, 29}, []int{large, zone}, self.Name)
		if m.firstHosts(now)[self.Name] {
			require.Equal(t, 60, others)
		} else {
			require.LessOrEqual(t, others, firstHostCount-9)
		}
	}
}

// Nine hosts of one region know each other as before.
func TestFewHostsExchangeHeartbeatsWithAll(t *testing.T) {
	now := time.Now()
	all := zonesOf(0, 4)
	for _, self := range all {
		require.Len(t, membersOf(self, all, now).heartbeatPeers(now), len(all)-1)
	}
}

// Hosts that share a limit with one that starts must know of it, whichever zone they
// are in.
func TestAHostThatStartsExchangesHeartbeatsWithItsWholeRegion(t *testing.T) {
	now := time.Now()
	all := zonesOf(3, 30)
	m := startedMembers(all[40], all, now)
	require.Len(t, m.heartbeatPeers(now), len(all)-1)
	require.Less(t, len(m.heartbeatPeers(now.Add(introductionPeriod))), 50)
	require.Greater(t, introductionPeriod, warmup.Window)
}

// When the large hosts die, others take their place, and those that come back are found.
func TestDeadFirstHostsAreReplacedAndStillTried(t *testing.T) {
	now := time.Now()
	all := zonesOf(3, 30)
	m := membersOf(all[40], all, now)
	before := m.firstHosts(now)
	require.Len(t, before, firstHostCount)
	later := now.Add(deadTimeout)
	for _, h := range all {
		if !isLarge(h.Capacity, 800) {
			m.recordHeartbeat(h, readyStatus, later)
		}
	}
	after := m.firstHosts(later)
	require.Len(t, after, firstHostCount+9)
	for name := range before {
		require.True(t, after[name], name)
	}
}

// A host that has heard of one only at its start does not report it as lost.
func TestAPeerThatGetsNoHeartbeatsIsNotReportedAsLost(t *testing.T) {
	start := time.Now()
	all := zonesOf(3, 30)
	m := startedMembers(all[40], all, start)
	for _, h := range all {
		m.recordHeartbeat(h, readyStatus, start)
	}
	m.heartbeatPeers(start)
	now := start.Add(introductionPeriod)
	exchanged := map[string]bool{}
	for _, p := range m.heartbeatPeers(now) {
		exchanged[p.host.Name] = true
	}
	for _, h := range all {
		if exchanged[h.Name] {
			m.recordHeartbeat(h, readyStatus, now)
		}
	}
	require.Empty(t, m.expire(start, now.Add(time.Second)))
}

// stallRecorder records reported stalls.
type stallRecorder struct {
	noReport
	stalls []time.Duration
}

func (r *stallRecorder) Stalled(d time.Duration) { r.stalls = append(r.stalls, d) }

// Requests timed out at a host that stood still, and nothing of its own told.
func TestAProcessWithoutProcessorTimeIsReported(t *testing.T) {
	var r stallRecorder
	f := &Fleet{options: Options{Report: &r}}
	for _, waited := range []time.Duration{0, schedulerTick, schedulerTick + minStall - 1, schedulerTick + time.Second} {
		f.reportStall(waited)
	}
	require.Equal(t, []time.Duration{time.Second}, r.stalls)
}
