package gateway

import (
	"cairndock/internal/gateway/fleet"
	"cairndock/internal/resources"
)

// ResourceSettings are the resources that the host may use. Hosts with more cores and
// bandwidth receive more clients. Zero means unknown; if the resources of all hosts are unknown,
// all hosts are treated equally.
type ResourceSettings struct {
	// Cores is the CPU time, in cores.
	Cores float64 `toml:"cores"`
	// BandwidthMbps is the bandwidth of the host's link, in megabits per second.
	BandwidthMbps float64 `toml:"bandwidth_mbps"`
	// MemoryMB is the memory of the process, in units of 1024*1024 bytes.
	MemoryMB int64 `toml:"memory_mb"`
	// Descriptors is the number of descriptors that the process may have open.
	Descriptors int64 `toml:"descriptors"`
}

// Limits returns the limits of the process.
func (r ResourceSettings) Limits() resources.Limits {
	return resources.Limits{MemoryMB: r.MemoryMB, Descriptors: r.Descriptors}
}

// capacity returns the resources from which a host's capacity follows.
func (r ResourceSettings) capacity() fleet.Resources {
	return fleet.Resources{Cores: r.Cores, BandwidthMbps: r.BandwidthMbps}
}
