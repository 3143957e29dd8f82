package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cairndock/internal/gateway/route"
)

// changedRoute returns the differences between two routes with one name.
func (c comparison) changedRoute(a, b *route.Route) []Finding {
	var all []Finding
	n, from, to := c.names, requestClass{a.Host, a.Prefix}, requestClass{b.Host, b.Prefix}
	if from != to {
		field := n.Prefix
		if a.Host != b.Host {
			field = n.Host
		}
		text := fmt.Sprintf("from %s%s to %s%s; ", a.Host, a.Prefix, b.Host, b.Prefix)
		all = append(all, c.classFindings("changed", b.Name, field, text, from)...)
		all = append(all, c.classFindings("changed", b.Name, field, text, to)...)
	} else if !slices.Equal(a.Backends, b.Backends) {
		text := fmt.Sprintf("from %s to %s; ", backends(a), backends(b))
		all = append(all, c.classFindings("changed", b.Name, n.Backends, text, to)...)
	}
	return append(all, c.changedFields(a, b)...)
}

// changedFields returns the differences that move no request to another service.
func (c comparison) changedFields(a, b *route.Route) []Finding {
	n := c.names
	var all []Finding
	for _, f := range []struct{ field, from, to, effect string }{
		{n.Kind, kindOf(a), kindOf(b), ""},
		{n.Timeout, ms(a.Timeout), ms(b.Timeout), timeoutEffect(a, b)},
		{n.Objective, ms(a.Objective), ms(b.Objective), ""},
		{n.Attempts, fmt.Sprint(a.Attempts), fmt.Sprint(b.Attempts), ""},
		{n.Priority, fmt.Sprint(a.Priority), fmt.Sprint(b.Priority), priorityEffect(a.Priority, b.Priority)},
		{n.Sticky, fmt.Sprint(a.Sticky), fmt.Sprint(b.Sticky), ""},
		{n.Regions, regionList(a.Regions), regionList(b.Regions), regionEffect(a.Regions, b.Regions)},
		{n.Public, fmt.Sprint(a.Public), fmt.Sprint(b.Public), publicEffect(b)},
	} {
		if f.from != f.to {
			all = append(all, differencef("changed", n.route(b.Name, f.field), "from %s to %s%s", f.from, f.to, f.effect))
		}
	}
	return all
}

// kindOf returns what may be done with the requests of a route.
func kindOf(r *route.Route) string {
	switch {
	case r.Repeat == route.Once:
		return "requests that run at most once"
	case r.Bulk:
		return "requests that may be repeated, with large responses"
	default:
		return "requests that may be repeated"
	}
}

func backends(r *route.Route) string {
	var parts []string
	for _, b := range r.Backends {
		parts = append(parts, fmt.Sprintf("%s:%d", b.Service, b.Weight))
	}
	return strings.Join(parts, ",")
}

func timeoutEffect(a, b *route.Route) string {
	switch {
	case b.Timeout == 0:
		return "; requests are processed without a time limit"
	case a.Timeout == 0 || b.Timeout < a.Timeout:
		return "; requests that take longer than that fail now"
	}
	return ""
}

func priorityEffect(from, to int) string {
	if to > from {
		return "; refused earlier under overload"
	}
	return "; refused later under overload"
}

func publicEffect(r *route.Route) string {
	if r.Public {
		return "; requests need no key"
	}
	return "; requests need a key if there are accounts"
}

// regionList returns the regions in order; their order has no effect.
func regionList(regions []string) string {
	if len(regions) == 0 {
		return "any region"
	}
	return strings.Join(slices.Compact(slices.Sorted(slices.Values(regions))), ",")
}

// regionEffect returns in which regions requests are no longer served.
func regionEffect(from, to []string) string {
	if len(to) == 0 {
		return ""
	}
	if len(from) == 0 {
		return "; not served in any other region"
	}
	lost := slices.DeleteFunc(slices.Sorted(slices.Values(from)), func(r string) bool { return slices.Contains(to, r) })
	if len(lost) == 0 {
		return ""
	}
	return "; no longer served in " + strings.Join(slices.Compact(lost), ",")
}

// number returns a number without an exponent.
func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// change returns two different numbers and the relative change.
func change(from, to float64) string {
	text := fmt.Sprintf("%s, before %s", number(to), number(from))
	switch {
	case from <= 0:
		return text
	case to < from:
		return text + fmt.Sprintf(" (%.3g lower)", (from-to)/from)
	}
	return text + fmt.Sprintf(" (%.3g higher)", (to-from)/from)
}

// limitChange returns the change of a limit, of which zero means none.
func limitChange(from, to float64) string {
	switch {
	case from == 0:
		return "now limited to " + number(to)
	case to == 0:
		return "no longer limited, before to " + number(from)
	}
	return change(from, to)
}
