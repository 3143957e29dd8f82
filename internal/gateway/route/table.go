// Package route holds the routing configuration of a gateway: which requests
// go to which groups of upstreams, and under which limits.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Repeat says how often a request may run.
type Repeat uint8

const (
	// Once is a request that must run at most once.
	Once Repeat = iota
	// Repeatable is a request that may run more than once.
	Repeatable
)

// Backend is one group of upstreams that a route sends a share of its
// requests to.
type Backend struct {
	// Service names the upstreams.
	Service string
	// Weight is the backend's part of the route's requests, in proportion
	// to the other backends' weights.
	Weight int
}

// Route says how requests for one host and path prefix are served.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host is the request's host, and Prefix the beginning of its path;
	// it begins and ends with a slash.
	Host   string
	Prefix string
	// Repeat says whether a request may run more than once.
	Repeat Repeat
	// Backends has one entry at least.
	Backends []Backend
	// Timeout is the longest time that a request is held; zero is no bound.
	Timeout time.Duration
	// Attempts bounds the upstreams that one request is sent to.
	Attempts int
	// Priority is the rank under overload; 0 is the most urgent.
	Priority int
	// Bulk says that answers are large.
	Bulk bool
	// Sticky says that upstreams work faster on objects seen lately.
	Sticky bool
	// Regions are those in which the route may be served; empty is any.
	Regions []string
}

// Allows reports whether the route may be served in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Service holds what is configured for the upstreams of one service.
type Service struct {
	Name string
	// WarmUp is how long an upstream stays cold after its start, and
	// WarmUpRate the requests a second that it bears meanwhile.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's size; zero is no bound.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a request's header, and
	// IdleTimeout the rest of a connection between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is not changed after New.
type Table struct {
	// Version orders tables; a host never moves to a lower one.
	Version int64
	Limits  Limits

	byHost   map[string][]*Route
	services map[string]Service
	// mixed has the services that serve large answers and small ones.
	mixed  map[string]bool
	routes int
}

// NewTable makes a table.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, byHost: map[string][]*Route{}, services: map[string]Service{}, routes: len(routes)}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, longestFirst)
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	t.mixed = mixedServices(routes)
	return t
}

// mixedServices gives the services whose main routes, those that send them
// most of their requests, have large answers and small ones.
func mixedServices(routes []Route) map[string]bool {
	bulk, small := map[string]bool{}, map[string]bool{}
	for _, r := range routes {
		main := slices.MaxFunc(r.Backends, func(a, b Backend) int { return cmp.Compare(a.Weight, b.Weight) })
		if r.Bulk {
			bulk[main.Service] = true
		} else {
			small[main.Service] = true
		}
	}
	mixed := map[string]bool{}
	for service := range bulk {
		mixed[service] = small[service]
	}
	return mixed
}

// Mixed reports whether a service serves large answers and small ones.
func (t *Table) Mixed(service string) bool { return t.mixed[service] }

func longestFirst(a, b *Route) int {
	return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
}

// Match finds the route with the longest prefix for a host and path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HostRegions gives the regions in which every route of a host may be
// served; empty is any.
func (t *Table) HostRegions(host string) []string {
	var common []string
	for _, r := range t.byHost[host] {
		if len(r.Regions) == 0 {
			return nil
		}
		common = append(common, r.Regions...)
	}
	slices.Sort(common)
	return slices.Compact(common)
}

// Service gives a service's configuration, or the zero value.
func (t *Table) Service(name string) Service { return t.services[name] }

// Routes is the number of routes.
func (t *Table) Routes() int { return t.routes }
