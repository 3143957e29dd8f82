package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOneHostOfARegionPollsTheStore(t *testing.T) {
	now := time.Now()
	roots := map[string]bool{}
	for _, name := range []string{"west0", "west1", "west2"} {
		h, root := nineHosts(name, now).relayParent(true, now)
		require.Equal(t, root, h.Name == name)
		roots[h.Name] = true
	}
	require.Len(t, roots, 1)
	// When the root is removed, another host replaces it.
	var removed string
	for name := range roots {
		removed = name
	}
	for _, name := range []string{"west0", "west1", "west2"} {
		if name == removed {
			continue
		}
		m := nineHosts(name, now)
		later := now.Add(deadTimeout)
		m.recordHeartbeat(host("west0", "west-0", "west"), readyStatus, later)
		m.recordHeartbeat(host("west1", "west-0", "west"), readyStatus, later)
		m.recordHeartbeat(host("west2", "west-1", "west"), readyStatus, later)
		m.forget(removed)
		h, _ := m.relayParent(true, later)
		require.NotEqual(t, removed, h.Name)
	}
}

// No host of a large region may have to send a change to more than a few others.
func TestTheHostsOfARegionFormATree(t *testing.T) {
	now := time.Now()
	const hosts = 100
	parents := map[string]string{}
	children := map[string]int{}
	all := regionHosts("west", hosts)
	for _, self := range all {
		h, root := membersOf(self, all, now).relayParent(true, now)
		if root {
			continue
		}
		parents[self.Name] = h.Name
		children[h.Name]++
	}
	require.Len(t, parents, hosts-1, "one host polls the store")
	for name, n := range children {
		require.LessOrEqual(t, n, relayFanout, name)
	}
	for name := range parents {
		depth := 0
		for at, ok := parents[name]; ok; at, ok = parents[at] {
			depth++
		}
		require.LessOrEqual(t, depth, 3)
	}
}

// A change must cross the border of each zone once, however many hosts a zone has, and no host
// may have many children.
func TestTheTreeCrossesEachZonesBorderOnce(t *testing.T) {
	now := time.Now()
	for _, perZone := range []int{17, 33, 67, 133} {
		all := zonesOf(3, perZone-3)
		crossings, roots, children := 0, 0, map[string]int{}
		for _, self := range all {
			parent, root := membersOf(self, all, now).relayParent(true, now)
			if root {
				roots++
				continue
			}
			children[parent.Name]++
			if parent.Zone != self.Zone {
				crossings++
			}
		}
		require.Equal(t, 1, roots, "%d hosts", len(all))
		require.Equal(t, 2, crossings, "%d hosts", len(all))
		for name, n := range children {
			require.LessOrEqual(t, n, relayFanout+2, name)
		}
	}
}

// A zone that is cut off from the others of its region has a root of its own, which polls the
// store if it can.
func TestAZoneThatIsCutOffHasARoot(t *testing.T) {
	now := time.Now()
	all := zonesOf(1, 5)
	later := now.Add(deadTimeout)
	roots := 0
	for _, self := range all {
		if self.Zone != "west-1" {
			continue
		}
		m := membersOf(self, all, now)
		for _, h := range all {
			if h.Zone == self.Zone {
				m.recordHeartbeat(h, readyStatus, later)
			}
		}
		parent, root := m.relayParent(true, later)
		require.Equal(t, "west-1", parent.Zone)
		if root {
			roots++
		}
	}
	require.Equal(t, 1, roots)
}

// Hosts that differ in which hosts they see alive must not poll each other in a cycle.
func TestRelaysNeverFormACycle(t *testing.T) {
	now := time.Now()
	for views := range 1 << 6 {
		parents := map[string]string{}
		for i := range 3 {
			m := newMembers(host(fmt.Sprint("west", i), "west-0", "west"), nil, now)
			for j := range 3 {
				if i != j && views>>(2*i+(j+3-i)%3-1)&1 == 1 {
					m.recordHeartbeat(host(fmt.Sprint("west", j), "west-0", "west"), readyStatus, now)
				}
			}
			if h, root := m.relayParent(true, now); !root {
				parents[m.self.Name] = h.Name
			}
		}
		for name := range parents {
			at := name
			for range 3 {
				at = parents[at]
				require.NotEqual(t, name, at)
			}
		}
	}
}

// Before there is a configuration no host is ready, and still only one host may poll the
// store.
func TestOneOfTheHostsThatStartTogetherPollsTheStore(t *testing.T) {
	now := time.Now()
	polling := 0
	for _, name := range []string{"west0", "west1", "west2"} {
		m := nineHosts(name, now)
		for _, p := range m.peersByName(m.indexed().names) {
			m.recordHeartbeat(p.host, Status{}, now)
		}
		if _, root := m.relayParent(false, now); root {
			polling++
		}
		_, root := m.relayParent(true, now)
		require.True(t, root, "a ready host polls only ready hosts")
	}
	require.Equal(t, 1, polling)
}

// If hosts receive heartbeats only from their zone and from the first hosts, the other
// hosts poll these, each of them is polled by a few hosts of every zone, and there is no
// cycle.
func TestTheFirstHostsOfARegionRelayToItsZones(t *testing.T) {
	now := time.Now()
	all := zonesOf(3, 30)
	parents, children := map[string]string{}, map[string]int{}
	for _, self := range all {
		m := startedMembers(self, all, now.Add(-longUptime))
		for _, name := range m.regionPeers(now) {
			m.recordHeartbeat(m.peers[name].host, readyStatus, now)
		}
		if h, root := m.relayParent(true, now); !root {
			parents[self.Name] = h.Name
			children[h.Name]++
		}
	}
	require.Len(t, parents, len(all)-1, "one host polls the store")
	for name, n := range children {
		require.LessOrEqual(t, n, 3*relayFanout, name)
	}
	for name := range parents {
		depth := 0
		for at, ok := parents[name]; ok; at, ok = parents[at] {
			depth++
		}
		require.LessOrEqual(t, depth, 3)
	}
}
