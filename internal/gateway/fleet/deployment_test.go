package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallHostFleet returns 78 small hosts: three regions with two zones
// each, and in each zone two large hosts and eleven small ones.
func smallHostFleet() (all []Host) {
	large, small := Resources{Cores: 0.8, BandwidthMbps: 200}.Capacity(), Resources{Cores: 0.16, BandwidthMbps: 10}.Capacity()
	for _, region := range []string{"west", "east", "south"} {
		for zone := range 2 {
			for i := range 13 {
				h := host(fmt.Sprint(region, zone, "-", i), fmt.Sprint(region, "-", zone), region)
				h.Capacity = small
				if i < 2 {
					h.Capacity = large
				}
				all = append(all, h)
			}
		}
	}
	return all
}

// cut is a fault of a deployment. Heartbeats need both directions, so that a partition in one
// direction is one in both for them.
type cut struct {
	name string
	// sees reports whether two running hosts exchange heartbeats.
	sees func(a, b Host) bool
	// killed reports whether a host was killed.
	killed func(h Host) bool
}

// cuts returns the faults of this fleet between and of its hosts.
func cuts() []cut {
	always := func(Host, Host) bool { return true }
	none := func(Host) bool { return false }
	west := func(h Host) bool { return h.Region == "west" }
	return []cut{
		{"no fault", always, none},
		{"a region is cut off", func(a, b Host) bool { return west(a) == west(b) }, none},
		{"two regions do not reach each other", func(a, b Host) bool {
			return !(west(a) && b.Region == "south" || a.Region == "south" && west(b))
		}, none},
		{"the large hosts of a region are killed", always, func(h Host) bool { return west(h) && h.Capacity > 200 }},
	}
}

// views returns the views of the running hosts.
func (c cut) views(now time.Time) map[string]*members {
	all, views := smallHostFleet(), map[string]*members{}
	for _, self := range all {
		if c.killed(self) {
			continue
		}
		m := membersOf(self, all, now)
		for _, p := range m.peers {
			if c.killed(p.host) || !c.sees(self, p.host) {
				p.lastHeartbeat = now.Add(-deadTimeout)
			}
		}
		views[self.Name] = m
	}
	return views
}

// forEachCut runs a test for each fault of this fleet.
func forEachCut(t *testing.T, test func(t *testing.T, views map[string]*members, now time.Time)) {
	now := time.Now()
	for _, c := range cuts() {
		t.Run(c.name, func(t *testing.T) { test(t, c.views(now), now) })
	}
}

// All shares of limits are computed from the hosts that are known, without messages.
func TestSharesAddUpInAFleetOfSmallHosts(t *testing.T) {
	forEachCut(t, func(t *testing.T, views map[string]*members, now time.Time) {
		for _, region := range []string{"west", "south"} {
			for u := range 3 {
				const total, tokens = 16.4, 58
				id, cold, limited, common := fmt.Sprint("i-", u), 0, 0, 0.0
				for _, m := range views {
					cold += m.warmUpQuota(id, region, total, now).Requests
					limited += m.limitShare(id, region, tokens, now)
					common += m.commonShare(now)
				}
				require.LessOrEqual(t, float64(cold), total)
				require.Positive(t, cold)
				require.LessOrEqual(t, limited, tokens)
				require.LessOrEqual(t, common, 1+1e-9)
			}
		}
	})
}

// One host of each region polls the store, and two keep its quarantines, whichever region is
// cut off and whichever hosts are killed: the one that wrote last is a large one.
func TestEachRegionOfSmallHostsHasOneRootAndTwoQuarantineWriters(t *testing.T) {
	forEachCut(t, func(t *testing.T, views map[string]*members, now time.Time) {
		roots, writers, parents := map[string]int{}, map[string]int{}, map[string]string{}
		for name, m := range views {
			parent, root := m.relayParent(true, now)
			if root {
				roots[m.self.Region]++
			} else {
				require.Equal(t, m.self.Region, parent.Region)
				parents[name] = parent.Name
			}
			if m.writesQuarantines(now) {
				writers[m.self.Region]++
			}
		}
		for name := range parents {
			depth := 0
			for at, ok := parents[name]; ok; at, ok = parents[at] {
				depth++
			}
			require.LessOrEqual(t, depth, 3, "peerStartTimeout allows for three levels")
		}
		require.Equal(t, map[string]int{"west": 1, "east": 1, "south": 1}, roots)
		require.Equal(t, map[string]int{"west": 2, "east": 2, "south": 2}, writers)
	})
}

// Suspicions and notices pass from host to host by heartbeats. They must reach all hosts that
// are connected by any path. Each step makes a termination seem later by its transit: at
// poison.maxReportDelay, upstreams that were killed together would seem to have terminated
// one after the other.
func TestHeartbeatsConnectSmallHosts(t *testing.T) {
	const maxReportDelay = 100 * time.Millisecond
	forEachCut(t, func(t *testing.T, views map[string]*members, now time.Time) {
		links := map[string][]Host{}
		for name, m := range views {
			for _, p := range m.heartbeatPeers(now) {
				if p.alive(now) { // an exchange carries changes both ways
					links[name] = append(links[name], p.host)
					links[p.host.Name] = append(links[p.host.Name], m.self)
				}
			}
		}
		longest := time.Duration(0)
		for name, m := range views {
			transit, next := map[string]time.Duration{name: 0}, []Host{m.self}
			for len(next) > 0 {
				at := next[0]
				next = next[1:]
				for _, to := range links[at.Name] {
					if _, ok := transit[to.Name]; !ok {
						transit[to.Name] = transit[at.Name] + transitTime(at, to)
						longest = max(longest, transit[to.Name])
						next = append(next, to)
					}
				}
			}
			for other, o := range views {
				if _, ok := transit[other]; !ok {
					require.False(t, o.self.Region == m.self.Region || m.peers[other].alive(now), "%s does not hear of what %s saw", other, name)
					require.True(t, o.self.Region == "west" != (m.self.Region == "west"), "there is a path by the third region")
				}
			}
		}
		t.Logf("at most %s", longest)
		require.Less(t, longest, maxReportDelay)
	})
}

// transitTime returns the time that a message takes between two of these hosts.
func transitTime(a, b Host) time.Duration {
	switch {
	case a.Region != b.Region:
		return 35 * time.Millisecond
	case a.Zone != b.Zone:
		return 3 * time.Millisecond
	default:
		return 0
	}
}

// While a region is cut off, no host of the other regions counts itself as isolated, nor a
// host of that region, which still has all hosts of its own.
func TestNoSmallHostIsIsolatedWithItsRegion(t *testing.T) {
	forEachCut(t, func(t *testing.T, views map[string]*members, now time.Time) {
		for _, m := range views {
			f := newFleet(newFakeRegistry(), m.self, regionsOf(smallHostFleet()))
			f.members = m
			m.heartbeatPeers(now)
			require.False(t, f.Isolated(), m.self.Name)
		}
	})
}

// A zone has just minAdvertised large hosts, so that the end of one leads its clients to the
// small hosts. These must be able to carry the zone's requests at the peak of its load.
func TestAZoneOfSmallHostsCanCarryItsClientsWithoutALargeHost(t *testing.T) {
	const peakRate = (986 + 540 + 399) / 6 * 1.55 // a sixth of all requests, at the peak of a sine
	var zone []entryHost
	for _, h := range smallHostFleet() {
		if h.Zone == "west-0" {
			zone = append(zone, entryHost{h.ClientAddress, h.Capacity, int(peakRate / 2)})
		}
	}
	for i := range zone[2:] {
		zone[2+i].rate = 0 // clients use the large hosts
	}
	require.Len(t, advertised(zone), 2)
	oneKilled := zone[1:]
	require.Len(t, advertised(oneKilled), 12)
	capacity := 0
	for _, h := range oneKilled {
		capacity += h.capacity
		require.Greater(t, float64(h.capacity), peakRate/12, "%s gets as many clients as the others", h.address)
	}
	require.Greater(t, maxUsedFraction*float64(capacity), peakRate)
}
