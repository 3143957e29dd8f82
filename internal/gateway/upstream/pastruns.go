package upstream

import "slices"

// pastRuns are the runs of an upstream before its last one, the latest first; at most
// maxPastRuns. Most upstreams have none. The list is immutable.
type pastRuns []Run

func (p pastRuns) contains(r Run) bool { return slices.Contains(p, r) }

// without returns the runs except r.
func (p pastRuns) without(r Run) pastRuns {
	if !p.contains(r) {
		return p
	}
	return slices.DeleteFunc(slices.Clone(p), func(past Run) bool { return past == r })
}

// with returns the runs with r added as the latest.
func (p pastRuns) with(r Run) pastRuns {
	return append(pastRuns{r}, p[:min(len(p), maxPastRuns-1)]...)
}
