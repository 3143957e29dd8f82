package gateway

import "cairndock/internal/gateway/fleet"

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
}

const (
	// bodiesFraction is the divisor of the host's memory for the bodies of requests.
	bodiesFraction = 3
	// maxMemoryMB is the maximum of resources.memory_mb: a bound on values that are mistakes.
	maxMemoryMB = 1 << 30
	// defaultBodiesBytes is the size of the bodies that a host of unknown memory holds.
	defaultBodiesBytes = 96 << 20
)

// bodiesBytes returns how many bytes the bodies of all requests in flight may have together.
func (r ResourceSettings) bodiesBytes() int64 {
	if r.MemoryMB == 0 {
		return defaultBodiesBytes
	}
	return r.MemoryMB << 20 / bodiesFraction
}

// capacity returns the resources from which a host's capacity follows.
func (r ResourceSettings) capacity() fleet.Resources {
	return fleet.Resources{Cores: r.Cores, BandwidthMbps: r.BandwidthMbps}
}
