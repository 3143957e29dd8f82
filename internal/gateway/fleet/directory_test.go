package fleet

import (
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
		{"no dead host", "east-0", "east", nil, readyStatus, leaving, deadAfter, []string{"west0:80"}},
		{"none when no live host is ready", "east-0", "east", nil, Status{}, leaving, deadAfter, nil},
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
