package poison

import (
	"cmp"
	"slices"
)

// candidate is a suspect with the ends that count against it.
type candidate struct {
	*suspect
	ends []*end
}

// decide works out which suspects are quarantined. Those under which most upstreams
// ended come first, and what they ended no longer counts against others: a request
// that only shared upstreams with a poison request is released by the first end that
// it has no part in.
func decide(suspects map[Fingerprint]*suspect) {
	candidates := candidatesOf(suspects)
	// explained has, for each run that ended under a quarantined request, how many
	// ended under that one.
	explained := map[string]int{}
	for _, c := range candidates {
		left := rounds(c.counted(func(run string) bool { return explained[run] > len(c.ends) }))
		c.quarantined = left >= sureRounds || left >= maxRounds && !hasTwin(candidates, c)
		if !c.quarantined {
			continue
		}
		for _, e := range c.ends {
			explained[e.run] = max(explained[e.run], len(c.ends))
		}
	}
}

// candidatesOf returns the suspects with ends enough, those with the most first.
func candidatesOf(suspects map[Fingerprint]*suspect) []candidate {
	var candidates []candidate
	for _, s := range suspects {
		s.quarantined = false
		if s.counting >= maxRounds {
			candidates = append(candidates, candidate{s, s.counted(none)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(len(b.ends), len(a.ends)) })
	return candidates
}

// hasTwin reports whether another candidate ended exactly the same upstreams.
func hasTwin(candidates []candidate, c candidate) bool {
	return slices.ContainsFunc(candidates, func(o candidate) bool {
		return o.suspect != c.suspect && sameRuns(o.ends, c.ends)
	})
}

func sameRuns(a, b []*end) bool {
	if len(a) != len(b) {
		return false
	}
	for _, e := range a {
		if !slices.ContainsFunc(b, func(o *end) bool { return o.run == e.run }) {
			return false
		}
	}
	return true
}
