package balance

// Policy holds the limits and costs by which a Balancer decides. Hosts use DefaultPolicy;
// package loadmodel simulates a load under other policies for comparison.
type Policy struct {
	// PreferenceList is the number of upstreams that serve a key.
	PreferenceList int `toml:"preference_list"`
	// SpillAbove is the load, in capacities, from which a request goes to the next
	// upstream of its key's preference list. SpillBelow is the load from which that next
	// upstream accepts no such request.
	SpillAbove float64 `toml:"spill_above"`
	SpillBelow float64 `toml:"spill_below"`
	// RejectAbove is the load, in capacities, from which an upstream accepts no request of
	// the top priority. Each lower priority has a limit that is lower by RejectStep.
	RejectAbove float64 `toml:"reject_above"`
	RejectStep  float64 `toml:"reject_step"`
	// RegionCost is the cost of a region other than the one that serves the key.
	RegionCost float64 `toml:"region_cost"`
	// RegionFirst tries the best upstream of the region that serves the key before all
	// others. SpareFirst chooses that region, if it is not the host's own, by its capacity
	// above an even share. If these are off, the lowest cost and the size of the regions
	// decide.
	RegionFirst bool `toml:"region_first"`
	SpareFirst  bool `toml:"spare_first"`
	// LoadReports includes upstreams' reports of their load in the estimates, in addition
	// to the host's own outstanding requests.
	LoadReports bool `toml:"load_reports"`
	// ReportTTLIntervals is the TTL of an upstream's last load report, in intervals
	// between its reports. The TTL is bounded by minReportTTL and maxReportTTL.
	ReportTTLIntervals float64 `toml:"report_lasts"`
	// Ejections tries ejected upstreams last.
	Ejections bool `toml:"ejections"`
	// EvenLoad serves each key by the upstream of its preference list with the lowest
	// expected load (evenload.go) in place of SpillAbove and SpillBelow.
	EvenLoad bool `toml:"even_load"`
	// ZoneCopies serves a key by an upstream of the host's own zone first, and then by one
	// of another zone of the region (zonecopies.go).
	ZoneCopies bool `toml:"zone_copies"`
	// ZoneCopiesAbove is the size in bytes from which on ZoneCopies applies to a request,
	// which is the mean of its route's requests and responses. Zero applies it to all.
	ZoneCopiesAbove int64 `toml:"zone_copies_above"`
}

// DefaultPolicy returns the policy of the hosts. The reason and the measurements for each
// value are at its constant.
func DefaultPolicy() Policy {
	return Policy{
		PreferenceList: preferenceListSize, SpillAbove: spillAbove, SpillBelow: spillBelow,
		RejectAbove: rejectAbove, RejectStep: rejectStep, RegionCost: crossRegionCost,
		RegionFirst: true, SpareFirst: true, LoadReports: true, ReportTTLIntervals: reportTTLIntervals, Ejections: true,
	}
}

// rejectThreshold returns the load, in capacities, from which an upstream accepts no
// request of a priority.
func (p Policy) rejectThreshold(priority int) float64 {
	return p.RejectAbove - p.RejectStep*float64(max(0, min(priority, lowestPriority)))
}
