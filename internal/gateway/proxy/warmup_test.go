package proxy_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/route"
)

// warmUpLine is a line of the log on a request to a cold upstream.
type warmUpLine struct {
	Event    string
	Request  string
	Upstream string
	WaitedMS *float64 `json:"waited_ms"`
	UptimeMS *float64 `json:"uptime_ms"`
	Sent     int
	SentWarm int `json:"sent_warm"`
	Quota    int
	Hosts    int
}

// warmUps returns the log's lines on requests to cold upstreams.
func (g *testGateway) warmUps() []warmUpLine {
	g.t.Helper()
	var out []warmUpLine
	for line := range strings.Lines(g.log.String()) {
		var w warmUpLine
		require.NoError(g.t, json.Unmarshal([]byte(line), &w))
		if w.Event == eventlog.EventWarmUp {
			out = append(out, w)
		}
	}
	return out
}

func TestEachRequestToAColdUpstreamIsLogged(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	g.cold = time.Minute
	got := g.addUpstream(healthy)
	const requests = 3
	for n := range requests {
		require.Equal(t, http.StatusOK, g.getKey(n))
	}
	require.EqualValues(t, requests, got.Load())
	require.Eventually(t, func() bool { return len(g.warmUps()) == requests }, time.Second, 10*time.Millisecond)
	lines := g.warmUps()
	slices.SortFunc(lines, func(a, b warmUpLine) int { return a.Sent - b.Sent })
	for n, w := range lines {
		require.Equal(t, "i-1", w.Upstream)
		require.NotEmpty(t, w.Request)
		require.Equal(t, n+1, w.Sent)
		require.Zero(t, w.SentWarm)
		require.Equal(t, 100, w.Quota)
		require.Equal(t, 1, w.Hosts)
		require.NotNil(t, w.WaitedMS)
		require.NotNil(t, w.UptimeMS)
	}
}
