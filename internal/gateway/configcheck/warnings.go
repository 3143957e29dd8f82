package configcheck

import (
	"cmp"
	"slices"
)

// Warnings returns what is suspicious in a document, by place. regions are the regions of the
// deployment; nil if they are not known.
func Warnings(d Document, regions []string) []Finding {
	var all []Finding
	x := newIndex(d.Routes)
	for i := range d.Routes {
		r := &d.Routes[i]
		all = append(all, reachWarnings(d, x, r)...)
		all = append(all, backendWarnings(d.Names, r)...)
		all = append(all, timeWarnings(d.Names, r)...)
		all = append(all, regionWarnings(d.Names.route(r.Name, d.Names.Regions), r.Regions, regions)...)
	}
	all = append(all, serviceWarnings(d)...)
	all = append(all, accountWarnings(d, regions)...)
	sortFindings(all)
	return all
}

func sortFindings(all []Finding) {
	slices.SortStableFunc(all, func(a, b Finding) int { return cmp.Compare(a.Place, b.Place) })
}

// regionWarnings returns the regions of an entry that the deployment does not have.
func regionWarnings(place string, used, known []string) []Finding {
	var all []Finding
	for _, region := range used {
		if known != nil && !slices.Contains(known, region) {
			all = append(all, warningf("unknown-region", place, "no zone of the settings is in region %q", region))
		}
	}
	return all
}

// serviceWarnings returns the services that are no backend of a route.
func serviceWarnings(d Document) []Finding {
	used := map[string]bool{}
	for i := range d.Routes {
		for _, b := range d.Routes[i].Backends {
			used[b.Service] = true
		}
	}
	var all []Finding
	for _, s := range d.Services {
		if !used[s.Name] {
			all = append(all, warningf("service-without-route", d.Names.service(s.Name, ""), "no route has this service as a backend"))
		}
	}
	return all
}
