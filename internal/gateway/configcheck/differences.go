package configcheck

import (
	"fmt"

	"cairndock/internal/gateway/route"
)

// maxShift is the maximum fraction of a route's requests that should move between services
// at once. It is the bound on shifts between regions, because upstreams that suddenly get
// more requests than that may be overloaded before others have warmed up.
const maxShift = 0.15

// Differences returns what a configuration changes in the one in force, by place, with the
// effect of each change. A version that is not newer is an error if anything differs, because
// gateways ignore it.
func Differences(inForce, next Document) []Finding {
	c := comparison{before: inForce, after: next, names: next.Names}
	c.old, c.new = newIndex(inForce.Routes), newIndex(next.Routes)
	all := c.routes()
	all = append(all, c.services()...)
	all = append(all, c.accounts()...)
	all = append(all, c.limits()...)
	sortFindings(all)
	if f, ok := c.version(len(all) > 0); ok {
		all = append([]Finding{f}, all...)
	}
	return all
}

// comparison compares two documents.
type comparison struct {
	before, after Document
	old, new      index
	names         Names
}

// version compares the versions.
func (c comparison) version(differs bool) (Finding, bool) {
	from, to := c.before.Version, c.after.Version
	if to < from || to == from && differs {
		text := fmt.Sprintf("%d is not above %d, the version in force, and gateways ignore the configuration", to, from)
		return Finding{Kind: Error, Code: "old-version", Place: c.names.Version, Text: text}, true
	}
	return differencef("changed", c.names.Version, "from %d to %d", from, to), to != from
}

// byName returns the entries by name.
func byName[T any](entries []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(entries))
	for i := range entries {
		m[name(&entries[i])] = &entries[i]
	}
	return m
}

func (c comparison) routes() []Finding {
	name := func(r *route.Route) string { return r.Name }
	before, after := byName(c.before.Routes, name), byName(c.after.Routes, name)
	var all []Finding
	for i := range c.before.Routes {
		if r := &c.before.Routes[i]; after[r.Name] == nil {
			all = append(all, c.classFindings("removed", r.Name, "", "", requestClass{r.Host, r.Prefix})...)
		}
	}
	for i := range c.after.Routes {
		r := &c.after.Routes[i]
		if old := before[r.Name]; old != nil {
			all = append(all, c.changedRoute(old, r)...)
		} else {
			all = append(all, c.classFindings("added", r.Name, "", "", requestClass{r.Host, r.Prefix})...)
		}
	}
	return all
}

// classFindings returns the difference in a route with its effect on the requests of a class,
// and a warning if too many of them move at once. change is empty or says what was changed.
func (c comparison) classFindings(code, name, field, change string, class requestClass) []Finding {
	all := moves(c.old.find(class), c.new.find(class))
	place := c.names.route(name, field)
	found := []Finding{differencef(code, place, "%s%s%s: %s", change, class.host, class.prefix, describeMoves(all))}
	if m := moved(all); m > maxShift+1e-9 { // the sum of fractions is not exact
		found = append(found, warningf("large-shift", place, "%s%s: %.3g of the requests move at once, more than %g", class.host, class.prefix, m, maxShift))
	}
	return found
}

func (c comparison) services() []Finding {
	name := func(s *route.Service) string { return s.Name }
	before, after := byName(c.before.Services, name), byName(c.after.Services, name)
	var all []Finding
	for i := range c.before.Services {
		if s := &c.before.Services[i]; after[s.Name] == nil {
			all = append(all, differencef("removed", c.names.service(s.Name, ""), "its upstreams get no request"))
		}
	}
	for i := range c.after.Services {
		s := &c.after.Services[i]
		old := before[s.Name]
		if old == nil {
			all = append(all, differencef("added", c.names.service(s.Name, ""), "its upstreams may get requests"))
			continue
		}
		if old.WarmUp != s.WarmUp {
			all = append(all, differencef("changed", c.names.service(s.Name, c.names.WarmUp), "upstreams stay cold for %s, before for %s", s.WarmUp, old.WarmUp))
		}
		if old.WarmUpRate != s.WarmUpRate {
			all = append(all, differencef("changed", c.names.service(s.Name, c.names.WarmUpRate), "cold upstreams get %s requests per second", change(old.WarmUpRate, s.WarmUpRate)))
		}
	}
	return all
}

func (c comparison) limits() []Finding {
	a, b, n := c.before.Limits, c.after.Limits, c.names
	var all []Finding
	for _, l := range []struct {
		field    string
		from, to float64
		unit     string
	}{
		{n.HeaderBytes, float64(a.HeaderBytes), float64(b.HeaderBytes), "bytes of a header"},
		{n.BodyBytes, float64(a.BodyBytes), float64(b.BodyBytes), "bytes of a body"},
		{n.HeaderTimeout, a.HeaderTimeout.Seconds(), b.HeaderTimeout.Seconds(), "seconds to read a header"},
		{n.IdleTimeout, a.IdleTimeout.Seconds(), b.IdleTimeout.Seconds(), "seconds of an idle connection"},
	} {
		if l.from != l.to {
			all = append(all, differencef("changed", n.Limits+"."+l.field, "%s: %s", l.unit, limitChange(l.from, l.to)))
		}
	}
	return all
}
