package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxCausesPerRow is the maximum number of causes in a row of a route, zone or second.
const maxCausesPerRow = 3

// Print writes the report as tables. Lost weights are printed as fractions of the
// total weight of the requests in the same row or table.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "requests\t%d\tworth\t%.0f\tlost\t%.4f\n", r.Total.Requests, r.Total.Weight, fraction(r.LostWeight(), r.Total))
	fmt.Fprintf(t, "\ncause\trequests\tlost\n")
	for _, c := range byLostWeight(r.Lost) {
		fmt.Fprintf(t, "%s\t%d\t%.4f\n", c, r.Lost[c].Requests, fraction(r.Lost[c].Weight, r.Total))
	}
	fmt.Fprintf(t, "\nservice\tobjects\tfirst requests at an upstream\n")
	for _, s := range slices.Sorted(maps.Keys(r.Objects)) {
		fmt.Fprintf(t, "%s\t%d\t%d\n", s, r.Objects[s], r.FirstLoads[s])
	}
	printGroups(t, "route", r.Routes)
	printGroups(t, "zone", r.Zones)
	printGroups(t, "second", r.Seconds)
	return t.Flush()
}

// printGroups writes a table of groups, with the causes that lost the most weight in
// each group.
func printGroups[K cmp.Ordered](t io.Writer, name string, groups map[K]Group) {
	fmt.Fprintf(t, "\n%s\trequests\tlost\tmost by\n", name)
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		g := groups[key]
		fmt.Fprintf(t, "%v\t%d\t%.4f\t", key, g.Total.Requests, fraction(g.LostWeight(), g.Total))
		for i, c := range byLostWeight(g.Lost) {
			if i == maxCausesPerRow {
				break
			}
			fmt.Fprintf(t, "%s %.3f; ", c, fraction(g.Lost[c].Weight, g.Total))
		}
		fmt.Fprintln(t)
	}
}

// fraction returns a weight as a fraction of the weight of a sum, and zero for an empty sum.
func fraction(weight float64, total Sum) float64 {
	if total.Weight == 0 {
		return 0
	}
	return weight / total.Weight
}
