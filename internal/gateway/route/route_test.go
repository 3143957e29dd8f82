package route_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/route"
)

func newTable(routes ...route.Route) *route.Table {
	return route.NewTable(1, routes, nil, route.Limits{})
}

func newRoute(name, host, prefix string) route.Route {
	return route.Route{Name: name, Host: host, Prefix: prefix, Backends: []route.Backend{{Service: name, Weight: 1}}}
}

func TestRequestHasTheRouteWithTheLongestPrefixOfItsHost(t *testing.T) {
	table := newTable(
		newRoute("root", "a.example", "/"),
		newRoute("deep", "a.example", "/x/y/"),
		newRoute("mid", "a.example", "/x/"),
		newRoute("other", "b.example", "/x/"),
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/z", "mid"},
		{"a.example", "/xy", "root"},
		{"a.example", "/x/y", "mid"}, // a prefix ends with its slash
		{"b.example", "/x/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			r, ok := table.Match(c.host, c.path)
			require.Equal(t, c.want != "", ok)
			if ok {
				require.Equal(t, c.want, r.Name)
			}
		})
	}
}

func TestEachBackendGetsTheRequestsOfItsWeight(t *testing.T) {
	r := route.Route{Backends: []route.Backend{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	const requests = 20_000
	for i := range requests {
		id := "request-" + strconv.Itoa(i)
		picked := r.Pick(id)
		require.Equal(t, picked, r.Pick(id), "every attempt of a request picks the same service")
		counts[picked]++
	}
	require.InDelta(t, 0.7, float64(counts["a"])/requests, 0.02)
	require.InDelta(t, 0.3, float64(counts["b"])/requests, 0.02)
	require.Zero(t, counts["c"])
}

// The log contains one in a hundred successful requests, sampled by a hash of their ID.
// When the backend was picked by the same remainder of the same hash and the weights of a
// route added up to 100, all sampled requests were those of its first backend.
func TestSampledRequestsGoToEachBackendByItsWeight(t *testing.T) {
	r := route.Route{Backends: []route.Backend{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}}}
	counts, sampled := map[string]int{}, 0
	for i := range 100_000 {
		id := "request-" + strconv.Itoa(i)
		if eventlog.DefaultSampling().Sampled(id) {
			counts[r.Pick(id)]++
			sampled++
		}
	}
	require.Greater(t, sampled, 500)
	require.InDelta(t, 0.7, float64(counts["a"])/float64(sampled), 0.1)
	require.InDelta(t, 0.3, float64(counts["b"])/float64(sampled), 0.1)
}

func TestFirstBackendServesAllWithoutWeights(t *testing.T) {
	r := route.Route{Backends: []route.Backend{{Service: "a"}, {Service: "b"}}}
	require.Equal(t, "a", r.Pick("x"))
}

func TestRegionsOfAHostNameAreThoseOfItsRoutesUnlessOneIsUnbound(t *testing.T) {
	bound := newRoute("bound", "a.example", "/x/")
	bound.Regions = []string{"west", "east"}
	unbound := newRoute("unbound", "a.example", "/y/")
	require.Equal(t, []string{"east", "west"}, newTable(bound).HostRegions("a.example"))
	require.Empty(t, newTable(bound, unbound).HostRegions("a.example"))
	require.True(t, bound.Allows("west"))
	require.False(t, bound.Allows("south"))
	require.True(t, unbound.Allows("south"))
}

func TestServiceIsMixedWhenItIsTheMainBackendOfLargeAndSmallResponses(t *testing.T) {
	backends := func(main, other string) []route.Backend {
		return []route.Backend{{Service: other, Weight: 10}, {Service: main, Weight: 90}}
	}
	large := route.Route{Bulk: true, Backends: backends("a", "b")}
	for _, c := range []struct {
		name  string
		small []route.Backend
		mixed bool
	}{
		{"main backend of both", backends("a", "b"), true},
		{"a minor backend of the small ones", backends("b", "a"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(large, route.Route{Backends: c.small})
			require.Equal(t, c.mixed, table.Mixed("a"))
			require.False(t, table.Mixed("b"))
			require.False(t, table.Mixed("unknown"))
		})
	}
}

// Guards against a request that is served by different routes, depending on the number of the
// host's other routes.
func TestOfTwoRoutesWithOnePrefixTheFirstServes(t *testing.T) {
	for _, n := range []int{2, 13, 50, 200} {
		routes := make([]route.Route, n)
		for i := range routes {
			routes[i] = route.Route{Name: fmt.Sprintf("r-%03d", i), Host: "a.example", Prefix: "/x/", Backends: []route.Backend{{Service: "s"}}}
			if i%3 == 0 {
				routes[i].Prefix = fmt.Sprintf("/%d/", i%4)
			}
		}
		r, ok := newTable(routes...).Match("a.example", "/x/1")
		require.True(t, ok)
		require.Equal(t, "r-001", r.Name, "%d routes", n)
	}
}
