package proxy_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
	"cairndock/internal/verdict"
)

// limiting responds with a limit of a request in ten seconds.
func limiting(c net.Conn, r *http.Request) {
	reply(c, r, 200, "Genuine: 1\r\n"+headerLimit+": 0.1\r\n", "whole")
}

// The upstreams that were preferred for a key took no more, and others had room.
func TestRequestsPassOverAnUpstreamAtItsLimit(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	limited := g.addUpstream(limiting)
	for range 2 {
		g.addUpstream(limiting)
	}
	other := g.addUpstream(healthy)
	for n := range 40 {
		require.Equal(t, http.StatusOK, g.getKey(n%8))
	}
	require.LessOrEqual(t, limited.Load(), int64(1), "until it had said so")
	require.GreaterOrEqual(t, other.Load(), int64(37))
	require.True(t, g.log.has(`"kind":"limit"`))
}

// What is known not to be servable is rejected at once, and says when to return.
func TestARequestIsRefusedAtOnceWhileAllUpstreamsAreAtTheirLimits(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	for range 3 {
		g.addUpstream(limiting)
	}
	for n := range 6 {
		g.getKey(n)
	}
	began := time.Now()
	retries := map[string]bool{}
	for range 3 {
		resp, _ := g.get()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, verdict.NotRun.String(), resp.Header.Get("Verdict"))
		require.Equal(t, string(verdict.Withheld), resp.Header.Get("Reason"))
		after, err := time.ParseDuration(resp.Header.Get("Retry"))
		require.NoError(t, err)
		require.Greater(t, after, time.Second, "a token comes in some seconds")
		retries[after.String()] = true
	}
	require.Less(t, time.Since(began), 100*time.Millisecond)
	require.Greater(t, len(retries), 1, "clients return at moments of their own")
}
