package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cairndock/internal/gateway/route"
)

// move is the fraction of a class of requests that moves from one service to another. The
// service is empty where no route matches.
type move struct {
	from, to string
	fraction float64
}

// segment is the end of a range of request hashes, from 0 to 1, that go to one service.
type segment struct {
	end     float64
	service string
}

// segments returns how route.Route.Pick divides the requests of a route. A nil route serves
// none.
func segments(r *route.Route) []segment {
	if r == nil {
		return []segment{{1, ""}}
	}
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 || len(r.Backends) == 1 {
		return []segment{{1, r.Backends[0].Service}}
	}
	var all []segment
	sum := 0
	for _, b := range r.Backends {
		sum += b.Weight
		all = append(all, segment{float64(sum) / float64(total), b.Service})
	}
	return all
}

// moves returns the requests that another service gets if a route replaces another one, the
// largest fraction first. The same weights in another order move requests too.
func moves(from, to *route.Route) []move {
	a, b := segments(from), segments(to)
	sums := map[[2]string]float64{}
	at := 0.0
	for i, j := 0, 0; i < len(a) && j < len(b); {
		end := min(a[i].end, b[j].end)
		if a[i].service != b[j].service && end > at {
			sums[[2]string{a[i].service, b[j].service}] += end - at
		}
		at = end
		if a[i].end <= end {
			i++
		}
		if j < len(b) && b[j].end <= end {
			j++
		}
	}
	all := make([]move, 0, len(sums))
	for pair, fraction := range sums {
		all = append(all, move{pair[0], pair[1], fraction})
	}
	slices.SortFunc(all, func(a, b move) int {
		return cmp.Or(-cmp.Compare(a.fraction, b.fraction), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	return all
}

// moved returns the fraction of requests that leave a service. Requests that had no route
// leave none.
func moved(all []move) float64 {
	sum := 0.0
	for _, m := range all {
		if m.from != "" {
			sum += m.fraction
		}
	}
	return sum
}

// describeMoves returns the effect of moves on a class of requests.
func describeMoves(all []move) string {
	if len(all) == 0 {
		return "no request moves to another service"
	}
	var parts []string
	for _, m := range all {
		parts = append(parts, fmt.Sprintf("%.3g of the requests move from %s to %s", m.fraction, target(m.from), target(m.to)))
	}
	return strings.Join(parts, ", ")
}

func target(service string) string {
	if service == "" {
		return "no route (404)"
	}
	return fmt.Sprintf("service %q", service)
}
