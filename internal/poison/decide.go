package poison

import (
	"cmp"
	"slices"
)

// candidate is a suspect with its uncleared terminations.
type candidate struct {
	*suspect
	uncleared []*termination
}

// decide determines which suspects are quarantined. It starts with the suspects with the
// most terminations. The terminations that a quarantined suspect explains are not held
// against suspects with fewer. A request that only shared upstreams with a poison request
// is therefore released by the first termination of an upstream that did not run it.
func decide(suspects map[Fingerprint]*suspect) {
	candidates := candidatesOf(suspects)
	// explained has, for each run that terminated under a quarantined request, the number
	// of terminations of that request; the maximum, if there are several.
	explained := map[string]int{}
	for _, c := range candidates {
		unexplained := consecutive(c.unclearedExcept(func(run string) bool { return explained[run] > len(c.uncleared) }))
		c.quarantined = unexplained >= ambiguousThreshold || unexplained >= quarantineThreshold && !isAmbiguous(candidates, c)
		if !c.quarantined {
			continue
		}
		for _, e := range c.uncleared {
			explained[e.run] = max(explained[e.run], len(c.uncleared))
		}
	}
}

// candidatesOf returns the suspects with enough uncleared terminations to be quarantined,
// those with the most first.
func candidatesOf(suspects map[Fingerprint]*suspect) []candidate {
	var candidates []candidate
	for _, s := range suspects {
		s.quarantined = false
		if s.unclearedCount >= quarantineThreshold {
			candidates = append(candidates, candidate{s, s.unclearedExcept(skipNone)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(len(b.uncleared), len(a.uncleared)) })
	return candidates
}

// isAmbiguous reports whether the same runs terminated under another candidate as under c.
func isAmbiguous(candidates []candidate, c candidate) bool {
	return slices.ContainsFunc(candidates, func(o candidate) bool {
		return o.suspect != c.suspect && sameRuns(o.uncleared, c.uncleared)
	})
}

// sameRuns reports whether two lists of terminations are of the same runs.
func sameRuns(a, b []*termination) bool {
	if len(a) != len(b) {
		return false
	}
	for _, e := range a {
		if !slices.ContainsFunc(b, func(o *termination) bool { return o.run == e.run }) {
			return false
		}
	}
	return true
}
