package fleet

import (
	"fmt"
	"testing"
	"time"
)

// plannedFleet returns one host's view of a fleet of the planned size: 5,900 hosts in 23
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
	m := newMembers(host(0), nil, now.Add(-longUptime))
	for zone := range zones {
		m.addList(host(zone).Region, nil, true, now.Add(-longUptime))
	}
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

func BenchmarkWarmUpQuotaAtPlannedSize(b *testing.B) {
	now := time.Now()
	m := plannedFleet(now)
	for _, c := range []struct {
		name, region string
		now          time.Time
	}{
		{"own region", "region-0", now},
		{"other region, alive", "region-3", now},
		{"other region, dead", "region-3", now.Add(deadTimeout)},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				m.warmUpQuota("i-1", c.region, 26, c.now)
			}
		})
	}
}

func BenchmarkClientAddressesAtPlannedSize(b *testing.B) {
	now := time.Now()
	m := plannedFleet(now)
	for b.Loop() {
		m.clientAddresses("zone-3", "region-3", Status{Ready: true}, nil, now)
	}
}
