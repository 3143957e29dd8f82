package configcheck

import (
	"net"
	"strings"

	"cairndock/internal/gateway/route"
)

// unreachable is the code of the warning for a route that no request can match.
const unreachable = "unreachable"

// reachWarnings returns why a route gets no request, if it gets none.
func reachWarnings(d Document, x index, r *route.Route) []Finding {
	limit := d.Limits.HeaderBytes
	switch first := x[requestClass{r.Host, r.Prefix}]; {
	case first != r:
		return []Finding{warningf(unreachable, d.Names.route(r.Name, ""), "route %q has the same host and prefix and gets all requests", first.Name)}
	case strings.ContainsFunc(r.Host, notInHost):
		return []Finding{warningf(unreachable, d.Names.route(r.Name, d.Names.Host), "%q is no host name that a request can have", r.Host)}
	case hasPort(r.Host):
		return []Finding{warningf("host-with-port", d.Names.route(r.Name, d.Names.Host), "%q has a port, which is removed from the host of a request before its route is looked up", r.Host)}
	case limit > 0 && len(r.Prefix) > limit:
		return []Finding{warningf("prefix-too-long", d.Names.route(r.Name, d.Names.Prefix), "has %d bytes, but requests with more than %d bytes of header are refused", len(r.Prefix), limit)}
	}
	return nil
}

// notInHost reports whether no valid request has a character in its host name. It omits
// characters that some requests may have, such as those of an absolute request target.
func notInHost(c rune) bool {
	return c <= ' ' || c == 0x7f || c == '/' || c == '?' || c == '#'
}

func hasPort(host string) bool {
	_, _, err := net.SplitHostPort(host)
	return err == nil
}

// backendWarnings returns the backends that get no request.
func backendWarnings(n Names, r *route.Route) []Finding {
	place := n.route(r.Name, n.Backends)
	total := 0
	for _, b := range r.Backends {
		if total += b.Weight; total < 0 {
			return []Finding{warningf("weights", place, "the sum of the weights is too large, and service %q gets all requests", r.Backends[0].Service)}
		}
	}
	if total == 0 {
		return []Finding{warningf("weights", place, "the weights sum to 0, and service %q gets all requests", r.Backends[0].Service)}
	}
	var all []Finding
	for i, b := range r.Backends {
		if b.Weight == 0 {
			all = append(all, warningf("backend-without-weight", place, "backend %d (service %q) has no weight and gets no request", i, b.Service))
		}
	}
	return all
}

// timeWarnings returns times of a route that contradict each other. An attempt gets about
// the objective before another one is worth its load.
func timeWarnings(n Names, r *route.Route) []Finding {
	switch {
	case r.Timeout == 0:
		return []Finding{warningf("no-timeout", n.route(r.Name, n.Timeout), "requests are processed without a time limit")}
	case r.Objective > r.Timeout:
		return []Finding{warningf("objective-above-timeout", n.route(r.Name, n.Objective), "%s is above the timeout of %s", ms(r.Objective), ms(r.Timeout))}
	case r.Attempts > 1 && r.Objective > r.Timeout/2:
		return []Finding{warningf("no-time-for-retry", n.route(r.Name, n.Timeout), "%s leaves no time for a second of %d attempts, at an objective of %s", ms(r.Timeout), r.Attempts, ms(r.Objective))}
	}
	return nil
}
