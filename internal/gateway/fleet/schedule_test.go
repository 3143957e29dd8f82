package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/warmup"
)

// Heartbeats between regions grow with the number of hosts and not with its square.
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
	var selected []string
	for _, p := range m.heartbeatPeers(now) {
		if p.host.Region == "east" {
			selected = append(selected, p.host.Name)
		}
	}
	require.Len(t, selected, remoteFanout)
	later := now.Add(deadTimeout)
	for _, p := range m.peersByName(m.indexed().names) {
		if p.host.Name != selected[0] {
			m.recordHeartbeat(p.host, readyStatus, later)
		}
	}
	east := 0
	for _, p := range m.heartbeatPeers(later) {
		if p.host.Region == "east" {
			east++
		}
	}
	require.Equal(t, 3, east, "the dead peer is tried in addition to two live ones")
}

// One exchange informs both hosts, so the receiver need not start one as well.
func TestAHeartbeatReceivedPostponesTheNextOneSent(t *testing.T) {
	f := New(Options{Self: host("west0", "west-0", "west")})
	other := host("west1", "west-0", "west")
	now := time.Now()
	f.members.recordHeartbeat(other, readyStatus, now)
	f.nextHeartbeat[other.Name] = now
	f.postpone(other.Name)
	require.Empty(t, f.due(now.Add(heartbeatInterval/2)))
	require.Len(t, f.due(now.Add(2*heartbeatInterval)), 1)
	require.Less(t, heartbeatInterval+schedulerTick+heartbeatTimeout, deadTimeout, "a host that only responds does not count as dead")
}

func TestHeartbeatsAreTriggeredOncePerInterval(t *testing.T) {
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
	require.Equal(t, 2*minTriggerInterval, triggerInterval(triggerHostStep), "the interval grows with the region")
}

// While a region is cut off, a few of its hosts are tried at a time, and all of them
// after a while.
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
	require.Contains(t, m.firstAlive(m.indexed().remote["east"], start.Add(time.Hour)), all[hosts].Name, "a live peer is kept")
}

// zonesOf returns hosts of one region in three zones. The first hosts of each zone are
// large.
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

// When all 98 hosts of a region exchanged heartbeats with each other, a host with 0.16
// cores sent and received 30 KB per second, seven times what a node may spend on control
// traffic.
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

// In a region of twelve hosts, each host exchanges heartbeats with all others.
func TestAllHostsOfASmallRegionExchangeHeartbeats(t *testing.T) {
	now := time.Now()
	all := zonesOf(0, 4)
	for _, self := range all {
		require.Len(t, membersOf(self, all, now).heartbeatPeers(now), len(all)-1)
	}
}

// Hosts that share a limit with a starting host must learn of it, whichever zone they
// are in.
func TestAHostThatStartsExchangesHeartbeatsWithItsWholeRegion(t *testing.T) {
	now := time.Now()
	all := zonesOf(3, 30)
	m := startedMembers(all[40], all, now)
	require.Len(t, m.heartbeatPeers(now), len(all)-1)
	require.Less(t, len(m.heartbeatPeers(now.Add(introductionPeriod))), 50)
	require.Greater(t, introductionPeriod, warmup.Window)
}

// While a whole fleet starts, each host introduces itself to each other host of its region once.
// A heartbeat to all of them in each interval would take the hosts' CPU time.
func TestAStartingHostIntroducesItselfOnce(t *testing.T) {
	for _, perZone := range []int{17, 33, 67, 133} {
		start := time.Now()
		all := zonesOf(3, perZone-3)
		f := New(Options{Self: all[len(all)-1]})
		f.members = startedMembers(f.options.Self, all, start)
		heartbeats := 0
		for at := start; at.Before(start.Add(introductionPeriod)); at = at.Add(schedulerTick) {
			for _, p := range f.due(at) {
				heartbeats++
				f.members.recordHeartbeat(p.host, readyStatus, at.Add(time.Millisecond))
			}
		}
		usual := len(f.members.heartbeatPeers(start.Add(introductionPeriod)))
		intervals := int(introductionPeriod / heartbeatInterval)
		require.LessOrEqual(t, heartbeats, len(all)+usual*intervals, "%d hosts", len(all))
	}
}

// Connections to hosts that were only introduced are not kept.
func TestConnectionsAreKeptToPeersOnly(t *testing.T) {
	now := time.Now()
	all := zonesOf(9, 30)
	self := all[len(all)-1]
	f := New(Options{Self: self})
	f.members = membersOf(self, all, now)
	kept := 0
	for _, h := range all {
		if f.staysPeer(h) {
			kept++
		}
	}
	require.Equal(t, 39+firstHostCount-4, kept, "its zone and the first hosts, a third of them in its zone")
	require.True(t, f.staysPeer(host("east", "east-0", "east")))
}

// When the large hosts die, others replace them, and hosts that return are found.
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

// A host does not report a peer as lost from which it received a heartbeat only at its
// start.
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
	noopReporter
	stalls []time.Duration
}

func (r *stallRecorder) Stalled(d time.Duration) { r.stalls = append(r.stalls, d) }

// Requests timed out at a host that had no CPU time, and the host reported
// nothing.
func TestAProcessWithoutProcessorTimeIsReported(t *testing.T) {
	var r stallRecorder
	f := &Fleet{options: Options{Report: &r}}
	for _, waited := range []time.Duration{0, schedulerTick, schedulerTick + minStall - 1, schedulerTick + time.Second} {
		f.reportStall(waited)
	}
	require.Equal(t, []time.Duration{time.Second}, r.stalls)
}
