package proxy_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/watch"
)

func TestAnEvacuatedZoneReceivesNothing(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	n := g.addUpstream(healthy)
	g.putOperatorRow("evacuate", operatorRow{Evacuate: "z"})
	resp, _ := g.get()
	require.Equal(t, 503, resp.StatusCode)
	require.Zero(t, n.Load())
	g.applyOperatorRow(watch.Row{Key: "evacuate", Version: 99, Deleted: true})
	resp, _ = g.get()
	require.Equal(t, 200, resp.StatusCode)
}

// A configuration with a lower version, or in a row that can't be decoded, must not replace the
// current configuration.
func TestAConfigurationNeverGoesBackAndABadOneChangesNothing(t *testing.T) {
	g := newTestGateway(t)
	g.addUpstream(healthy)
	g.putOperatorRow("config", operatorRow{Version: 5, Routes: []route.Route{testRoute(route.Repeatable)}})
	g.putOperatorRow("config", operatorRow{Version: 4})
	resp, _ := g.get()
	require.Equal(t, 200, resp.StatusCode)
	g.applyOperatorRow(watch.Row{Key: "config", Value: []byte("{"), Version: 50})
	resp, _ = g.get()
	require.Equal(t, 200, resp.StatusCode)
	require.Eventually(t, func() bool { return strings.Contains(g.log.String(), "bad-row") }, time.Second, time.Millisecond)
}
