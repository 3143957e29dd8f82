package fleet

// A host's capacity is how many requests a second it can carry, by what its
// settings say that it has. Hosts of one deployment may differ by five and ten
// times, so that what they share by their number alone overloads the small ones
// and leaves the large ones idle.
const (
	// requestsPerCore is how many requests a second a core carries. Measured by the
	// processor time of all hosts on calm days: 0.5 to 1 ms a request, heartbeats
	// included.
	requestsPerCore = 1000
	// bytesPerRequest is what a request and its response take on a host's link,
	// from the upstream and on to the client. Chosen for services of which one
	// response in twelve has 90 KB: a link is busier with larger ones than with a
	// higher rate of small ones.
	bytesPerRequest = 16 << 10
	// bytesPerMegabit converts a link's rate.
	bytesPerMegabit = 1_000_000 / 8
	// minLargeFraction is the part of the largest host's capacity from which on a host
	// counts as large: hosts that differ by less than two times share alike.
	minLargeFraction = 0.5
)

// Resources are what a host may use. A zero is not known.
type Resources struct {
	// Cores is its processor time, in cores.
	Cores float64
	// BandwidthMbps is its link, in megabits a second each way.
	BandwidthMbps float64
}

// Capacity returns the requests a second that a host with these resources carries;
// zero if neither is known.
func (r Resources) Capacity() int {
	byCores := int(r.Cores * requestsPerCore)
	byLink := int(r.BandwidthMbps * bytesPerMegabit / bytesPerRequest)
	if byCores == 0 || byLink == 0 {
		return max(byCores, byLink)
	}
	return min(byCores, byLink)
}

// isLarge reports whether a host counts as large beside one of the highest capacity.
// One whose capacity is not known does so only where none is.
func isLarge(capacity, highest int) bool {
	return float64(capacity) >= minLargeFraction*float64(highest)
}
