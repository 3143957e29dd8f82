package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDirectoryNamesTheNearestHostsThatAcceptClients(t *testing.T) {
	now := time.Now()
	leaving := Status{Ready: true, Leaving: true}
	cases := []struct {
		name         string
		zone, region string
		allowed      []string
		self         Status
		// west2 is the status of the only host in zone west-1.
		west2 Status
		after time.Duration
		want  []string
	}{
		{"hosts of the zone, this one first", "west-0", "west", nil, readyStatus, readyStatus, 0, []string{"west0:80", "west1:80"}},
		{"hosts of another zone", "west-1", "west", nil, readyStatus, readyStatus, 0, []string{"west2:80"}},
		{"hosts of the region when the zone has none", "west-1", "west", nil, readyStatus, leaving, 0, []string{"west0:80", "west1:80"}},
		{"hosts of the allowed regions when the region has none", "north-0", "north", []string{"south"}, readyStatus, readyStatus, 0, []string{"south0:80", "south1:80", "south2:80"}},
		{"dead hosts are left out", "east-0", "east", nil, readyStatus, leaving, deadTimeout, []string{"west0:80"}},
		{"none when no live host is ready", "east-0", "east", nil, Status{}, leaving, deadTimeout, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := nineHosts("west0", now)
			m.recordHeartbeat(host("west2", "west-1", "west"), tc.west2, now)
			got := m.clientAddresses(tc.zone, tc.region, tc.self, tc.allowed, now.Add(tc.after))
			require.Equal(t, tc.want, got)
		})
	}
}

// In a fleet with hosts of 0.16 cores and 20 Mbit/s and hosts of 0.8 cores and 200
// Mbit/s, clients were given all hosts. The large hosts got as few requests as the small
// ones, whose links delayed large responses, and no host sent an upstream enough
// requests to know its load.
func TestDirectoryNamesTheLargeHostsWhileTheySuffice(t *testing.T) {
	large := Resources{Cores: 0.8, BandwidthMbps: 200}.Capacity()
	small := Resources{Cores: 0.16, BandwidthMbps: 20}.Capacity()
	require.Equal(t, 800, large)
	require.Equal(t, 152, small)
	hosts := func(n, capacity, rate int) []entryHost {
		var list []entryHost
		for i := range n {
			list = append(list, entryHost{fmt.Sprint(capacity, "-", i), capacity, rate})
		}
		return list
	}
	for _, c := range []struct {
		name  string
		hosts []entryHost
		want  int
	}{
		{"no host", nil, 0},
		{"equal sizes", hosts(9, large, 10), 9},
		{"equal sizes, busy", hosts(9, large, 800), 9},
		{"sizes unknown", hosts(9, 0, 10), 9},
		{"idle", slices.Concat(hosts(3, large, 0), hosts(30, small, 0)), 3},
		{"the large ones get all requests", slices.Concat(hosts(3, large, 300), hosts(30, small, 0)), 3},
		{"more than the large ones should handle", slices.Concat(hosts(3, large, 500), hosts(30, small, 0)), 33},
		{"the same number, spread over all hosts", slices.Concat(hosts(3, large, 50), hosts(30, small, 45)), 33},
		{"one large host remains", slices.Concat(hosts(1, large, 100), hosts(30, small, 0)), 31},
		{"no large host remains", hosts(30, small, 10), 30},
		{"some sizes unknown", slices.Concat(hosts(2, large, 10), hosts(5, 0, 10)), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Len(t, advertised(c.hosts), c.want)
		})
	}
}

// A large host that dies or leaves is not advertised any more. Only the remaining large
// hosts are advertised, but only while they suffice.
func TestDirectoryNamesAllHostsOnceTheLargeOnesAreGone(t *testing.T) {
	now := time.Now()
	all := largeAndSmall("west", 3, 4)
	m := membersOf(all[6], all, now)
	self := Status{Ready: true}
	require.Equal(t, []string{"west0:80", "west1:80", "west2:80"}, m.clientAddresses("west-0", "west", self, nil, now))
	m.recordHeartbeat(all[0], Status{Ready: true, Leaving: true}, now)
	require.Equal(t, []string{"west1:80", "west2:80"}, m.clientAddresses("west-0", "west", self, nil, now))
	later := now.Add(deadTimeout)
	for _, h := range all[2:6] {
		m.recordHeartbeat(h, readyStatus, later)
	}
	require.Len(t, m.clientAddresses("west-0", "west", self, nil, later), 5)
}
