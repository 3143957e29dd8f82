package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"cairndock/internal/gateway/account"
)

// Service is the configuration of a service's upstreams.
type Service struct {
	Name string
	// WarmUp is how long an upstream stays cold after its start.
	WarmUp time.Duration
	// WarmUpRate is the rate of requests per second that a cold upstream can serve.
	WarmUpRate float64
}

// Limits bound what a client may send; a zero value means no limit.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// HeaderTimeout is the maximum time for reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time for which a connection may be idle between two
	// requests.
	IdleTimeout time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	// Version orders tables; a host never applies an older table.
	Version int64
	Limits  Limits
	// Accounts are the client accounts; nil if requests need no account.
	Accounts *account.Set

	// byHost holds the routes of each host name, the longest prefix first.
	byHost   map[string][]*Route
	services map[string]Service
	// mixed holds the services with both large and small responses.
	mixed  map[string]bool
	routes int
}

// NewTable returns a table. The table keeps the slice of routes.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, byHost: map[string][]*Route{}, services: map[string]Service{},
		mixed: mixedServices(routes), routes: len(routes),
	}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		// The sort is stable, so that of two routes with the same prefix the first one in
		// routes serves the requests, whatever the number of routes.
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// mixedServices returns the services that are the main backend (the one with the highest
// weight) both of a route with large responses and of a route with small ones.
func mixedServices(routes []Route) map[string]bool {
	large, small := map[string]bool{}, map[string]bool{}
	for _, r := range routes {
		main := slices.MaxFunc(r.Backends, func(a, b Backend) int { return cmp.Compare(a.Weight, b.Weight) })
		if r.Bulk {
			large[main.Service] = true
		} else {
			small[main.Service] = true
		}
	}
	maps.DeleteFunc(large, func(service string, _ bool) bool { return !small[service] })
	return large
}

// WithAccounts returns a copy of the table with client accounts.
func (t *Table) WithAccounts(s *account.Set) *Table {
	c := *t
	c.Accounts = s
	return &c
}

// Match returns the route with the longest prefix for a host name and path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HostRegions returns the regions in which routes of a host name may be served, sorted. It
// returns nil, which means any region, if one of the routes may be served anywhere.
func (t *Table) HostRegions(host string) []string {
	var regions []string
	for _, r := range t.byHost[host] {
		if len(r.Regions) == 0 {
			return nil
		}
		regions = append(regions, r.Regions...)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// Service returns a service's configuration, or the zero value if there is none.
func (t *Table) Service(name string) Service { return t.services[name] }

// Mixed reports whether a service has both large and small responses.
func (t *Table) Mixed(service string) bool { return t.mixed[service] }

// MaxTimeout returns the longest timeout of a service's routes; zero if one of them has none.
func (t *Table) MaxTimeout(service string) time.Duration {
	longest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, r := range routes {
			if !slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service }) {
				continue
			}
			if r.Timeout == 0 {
				return 0
			}
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }
