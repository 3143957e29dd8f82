package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// causesInRow is how many causes a row of a route, zone or second names.
const causesInRow = 3

// Print writes the report as tables. Shares are of what all requests of their
// part were worth.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "requests\t%d\tworth\t%.0f\tlost\t%.4f\n", r.Owed.Requests, r.Owed.Worth, share(r.LostWorth(), r.Owed))
	fmt.Fprintf(t, "\ncause\trequests\tlost\n")
	for _, c := range byWorth(r.Lost) {
		fmt.Fprintf(t, "%s\t%d\t%.4f\n", c, r.Lost[c].Requests, share(r.Lost[c].Worth, r.Owed))
	}
	fmt.Fprintf(t, "\nservice\tobjects\tfirst requests at an upstream\n")
	for _, s := range slices.Sorted(maps.Keys(r.Objects)) {
		fmt.Fprintf(t, "%s\t%d\t%d\n", s, r.Objects[s], r.FirstLoads[s])
	}
	printParts(t, "route", r.Routes)
	printParts(t, "zone", r.Zones)
	printParts(t, "second", r.Seconds)
	return t.Flush()
}

// printParts writes a table of parts, with the causes that lost most in each.
func printParts[K cmp.Ordered](t io.Writer, name string, parts map[K]Part) {
	fmt.Fprintf(t, "\n%s\trequests\tlost\tmost by\n", name)
	for _, key := range slices.Sorted(maps.Keys(parts)) {
		p := parts[key]
		fmt.Fprintf(t, "%v\t%d\t%.4f\t", key, p.Owed.Requests, share(p.LostWorth(), p.Owed))
		for i, c := range byWorth(p.Lost) {
			if i == causesInRow {
				break
			}
			fmt.Fprintf(t, "%s %.3f; ", c, share(p.Lost[c].Worth, p.Owed))
		}
		fmt.Fprintln(t)
	}
}

// share is a part of what requests were worth.
func share(worth float64, of Sum) float64 {
	if of.Worth == 0 {
		return 0
	}
	return worth / of.Worth
}
