package route_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

func table(routes ...route.Route) *route.Table {
	return route.NewTable(1, routes, nil, route.Limits{})
}

func named(name, host, prefix string) route.Route {
	return route.Route{Name: name, Host: host, Prefix: prefix, Backends: []route.Backend{{Service: name, Weight: 1}}}
}

func TestTableMatchesTheLongestPrefixOfTheHost(t *testing.T) {
	tb := table(named("root", "a.example", "/"), named("deep", "a.example", "/x/y/"), named("mid", "a.example", "/x/"), named("other", "b.example", "/x/"))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/z", "mid"},
		{"a.example", "/xy", "root"},
		{"a.example", "/x/y", "mid"}, // a prefix ends with its slash
		{"b.example", "/x/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		r, ok := tb.Match(c.host, c.path)
		require.Equal(t, c.want != "", ok, c)
		if ok {
			require.Equal(t, c.want, r.Name, c)
		}
	}
}

func TestPickKeepsTheWeightsAndIsTheSameForOneRequest(t *testing.T) {
	r := route.Route{Backends: []route.Backend{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	const requests = 20_000
	for i := range requests {
		id := "request-" + strconv.Itoa(i)
		picked := r.Pick(id)
		require.Equal(t, picked, r.Pick(id))
		counts[picked]++
	}
	require.InDelta(t, 0.7, float64(counts["a"])/requests, 0.02)
	require.InDelta(t, 0.3, float64(counts["b"])/requests, 0.02)
	require.Zero(t, counts["c"])
}

func TestPickWithoutWeightsTakesTheFirst(t *testing.T) {
	r := route.Route{Backends: []route.Backend{{Service: "a"}, {Service: "b"}}}
	require.Equal(t, "a", r.Pick("x"))
}

func TestHostRegionsAreAnyWhenOneRouteIsFree(t *testing.T) {
	bound := named("bound", "a.example", "/x/")
	bound.Regions = []string{"west", "east"}
	free := named("free", "a.example", "/y/")
	require.Equal(t, []string{"east", "west"}, table(bound).HostRegions("a.example"))
	require.Empty(t, table(bound, free).HostRegions("a.example"))
	require.True(t, bound.Allows("west"))
	require.False(t, bound.Allows("south"))
	require.True(t, free.Allows("south"))
}
