package balance

// Policy is by which figures a Balancer decides. Hosts run DefaultPolicy;
// package loadmodel plays a load with others beside it.
type Policy struct {
	// PreferenceList is how many upstreams serve a key.
	PreferenceList int `toml:"preference_list"`
	// SpillAbove is the load, in capacities, from which a request goes to the next
	// upstream of its key's preference list, and SpillBelow the load from which
	// that one takes no such request.
	SpillAbove float64 `toml:"spill_above"`
	SpillBelow float64 `toml:"spill_below"`
	// RejectAbove is the load, in capacities, from which an upstream takes no
	// request of the top priority. For each next priority it is RejectStep lower.
	RejectAbove float64 `toml:"reject_above"`
	RejectStep  float64 `toml:"reject_step"`
	// RegionCost is the cost of a region other than the one that serves the key.
	RegionCost float64 `toml:"region_cost"`
	// RegionFirst puts the best upstream of the region that serves the key before
	// all others, and SpareFirst chooses that region, where it is not the own one,
	// by the capacity above its even share. Otherwise the lowest cost decides.
	RegionFirst bool `toml:"region_first"`
	SpareFirst  bool `toml:"spare_first"`
	// LoadReports makes upstreams' reports of their load count, beside the host's
	// own outstanding requests.
	LoadReports bool `toml:"load_reports"`
	// ReportLasts is for how many times the interval between an upstream's reports the
	// last one counts, within leastReportTTL and mostReportTTL.
	ReportLasts float64 `toml:"report_lasts"`
	// Ejections puts ejected upstreams last.
	Ejections bool `toml:"ejections"`
}

// DefaultPolicy is the one that hosts run. What each figure answers and was
// measured by stands at its constant.
func DefaultPolicy() Policy {
	return Policy{
		PreferenceList: preferenceListSize, SpillAbove: spillAbove, SpillBelow: spillBelow,
		RejectAbove: rejectAbove, RejectStep: rejectStep, RegionCost: crossRegionCost,
		RegionFirst: true, SpareFirst: true, LoadReports: true, ReportLasts: reportLasts, Ejections: true,
	}
}

// rejectThreshold returns the load, in capacities, from which an upstream
// takes no request of a priority.
func (p Policy) rejectThreshold(priority int) float64 {
	return p.RejectAbove - p.RejectStep*float64(max(0, min(priority, lowestPriority)))
}
