package configcheck

import (
	"strings"

	"cairndock/internal/gateway/route"
)

// requestClass is the requests for one host name and path prefix.
type requestClass struct{ host, prefix string }

// index finds the routes of requests as a route.Table does, in a time that depends on the
// depth of the path and not on the number of the host's routes.
type index map[requestClass]*route.Route

// newIndex returns an index. Of two routes with one prefix the first one serves.
func newIndex(routes []route.Route) index {
	x := make(index, len(routes))
	for i := range routes {
		r := &routes[i]
		class := requestClass{r.Host, r.Prefix}
		if x[class] == nil {
			x[class] = r
		}
	}
	return x
}

// find returns the route with the longest prefix for requests of a class, or nil.
func (x index) find(c requestClass) *route.Route {
	for path := c.prefix; path != ""; {
		if r := x[requestClass{c.host, path}]; r != nil {
			return r
		}
		path = path[:strings.LastIndexByte(path[:len(path)-1], '/')+1]
	}
	return nil
}
