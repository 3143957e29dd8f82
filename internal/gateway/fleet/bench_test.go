package fleet

import (
	"fmt"
	"testing"
	"time"
)

// plannedFleet is one host's view of a fleet of the planned size: 5,900 hosts in 23
// regions and 80 zones.
func plannedFleet(now time.Time) *members {
	const hosts, zones, regions = 5900, 80, 23
	host := func(i int) Host {
		zone := i % zones
		return Host{
			Name: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", zone), Region: fmt.Sprintf("region-%d", zone%regions),
			ClientAddress: fmt.Sprintf("10.%d.%d.%d:80", zone, i/250, i%250),
		}
	}
	m := newMembers(host(0))
	for i := 1; i < hosts; i++ {
		m.recordHeartbeat(host(i), Status{Ready: true, Fresh: true}, now)
	}
	return m
}

func BenchmarkHeartbeatPeersAtPlannedSize(b *testing.B) {
	now := time.Now()
	m := plannedFleet(now)
	for b.Loop() {
		m.heartbeatPeers(now)
	}
}

func BenchmarkClientAddressesAtPlannedSize(b *testing.B) {
	now := time.Now()
	m := plannedFleet(now)
	for b.Loop() {
		m.clientAddresses("zone-3", "region-3", Status{Ready: true}, nil, now)
	}
}
