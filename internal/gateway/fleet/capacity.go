package fleet

// A host's capacity is how many requests per second it can handle, computed from the
// resources in its settings. Capacities within one deployment may differ by a factor of
// five to ten, so that equal shares would overload the small hosts and leave the large
// ones idle.
const (
	// requestsPerCore is how many requests per second a core handles. A request takes 0.5
	// to 1 ms of CPU time, heartbeats included, averaged over all hosts on days
	// without faults.
	requestsPerCore = 1000
	// bytesPerRequest is the number of bytes that a request and its response use on a
	// host's link, from the upstream and on to the client. The value suits services where
	// one response in twelve has 90 KB, because large responses load a link more than a
	// higher rate of small ones.
	bytesPerRequest = 16 << 10
	// bytesPerMegabit converts the rate of a link from megabits to bytes.
	bytesPerMegabit = 1_000_000 / 8
	// minLargeFraction is the fraction of the largest host's capacity from which on a
	// host counts as large. Hosts whose capacities differ by less than a factor of two
	// get equal shares.
	minLargeFraction = 0.5
)

// Resources are the resources that a host may use. Zero means unknown.
type Resources struct {
	// Cores is the CPU time, in cores.
	Cores float64
	// BandwidthMbps is the bandwidth of the link, in megabits per second in each
	// direction.
	BandwidthMbps float64
}

// Capacity returns the requests per second that a host with these resources can handle;
// zero if neither resource is known.
func (r Resources) Capacity() int {
	byCores := int(r.Cores * requestsPerCore)
	byLink := int(r.BandwidthMbps * bytesPerMegabit / bytesPerRequest)
	if byCores == 0 || byLink == 0 {
		return max(byCores, byLink)
	}
	return min(byCores, byLink)
}

// isLarge reports whether a host counts as large compared with the highest capacity. A
// host of unknown capacity counts as large only if no capacity is known.
func isLarge(capacity, highest int) bool {
	return float64(capacity) >= minLargeFraction*float64(highest)
}
