package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// An upstream that never responds, or truncates its responses, is ejected, although it accepts
// connections and passes its health check.
func TestAnUpstreamThatFailsRequestsIsEjected(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(net.Conn, *http.Request)
	}{
		{"silent", silent},
		{"truncating", truncating},
		{"head without end", endlessHead},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.setRoutes(testRoute(route.Once))
			g.addUpstream(healthy)
			for key := range 64 { // for the latency baseline
				require.Equal(t, http.StatusOK, g.getKey(key))
			}
			failing := g.addUpstream(c.fail)
			for key := 0; failing.Load() < 3; key++ {
				require.Less(t, key, 200)
				g.getKey(key)
			}
			require.Eventually(t, func() bool { return strings.Contains(g.log.String(), "avoided for a time") }, time.Second, 10*time.Millisecond)
			before := failing.Load()
			for key := range 30 {
				require.Equal(t, http.StatusOK, g.getKey(key))
			}
			require.Equal(t, before, failing.Load())
		})
	}
}

// A response may be lost without an error. A repeatable request is then sent to another
// upstream in time. Any other request is never sent again.
func TestAnOverdueRequestIsSentElsewhereOnlyIfItMayRunAgain(t *testing.T) {
	for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
		t.Run(fmt.Sprint(repeat), func(t *testing.T) {
			g := newTestGateway(t)
			slow := testRoute(repeat)
			slow.Timeout = time.Second
			g.setRoutes(slow)
			good := g.addUpstream(healthy)
			for key := range 64 { // for the latency baseline
				require.Equal(t, http.StatusOK, g.getKey(key))
			}
			lost := g.addUpstream(silent)
			status := 0
			before := good.Load()
			for key := 0; lost.Load() == 0; key++ {
				require.Less(t, key, 200)
				before = good.Load()
				status = g.getKey(key)
			}
			if repeat == route.Once {
				require.Equal(t, http.StatusGatewayTimeout, status)
				require.Equal(t, before, good.Load())
				return
			}
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, before+1, good.Load())
			g.requireLogged(`"outcome":"superseded"`, "another upstream responded first")
			require.NotContains(t, g.log.String(), `"outcome":"deadline-lapsed"`, "no deadline has passed")
		})
	}
}
