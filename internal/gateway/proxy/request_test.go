package proxy_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/proxy"
	"cairndock/internal/gateway/route"
	"cairndock/internal/verdict"
)

func TestBeforeAnyConfigurationARequestIsRefusedAsNotRun(t *testing.T) {
	g := newTestGateway(t)
	resp, _ := g.get()
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "not-ready", resp.Header.Get("Reason"))
	require.Equal(t, "not-run", resp.Header.Get("Verdict"))
}

func TestARequestAndItsResponseAreForwardedUnchanged(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Once))
	g.addUpstream(func(c net.Conn, r *http.Request) {
		reply(c, r, 201, "Genuine: 1\r\nOdd: kept\r\n", r.Method+" "+r.RequestURI+" "+r.Header.Get(headerTo))
	})
	resp, body, err := g.do(t.Context(), http.MethodPost, "/x/a%20b?q=%2F", "text")
	require.NoError(t, err)
	require.Equal(t, 201, resp.StatusCode)
	require.Equal(t, "POST /x/a%20b?q=%2F i-1", body)
	require.Equal(t, "kept", resp.Header.Get("Odd"))
	require.Empty(t, resp.Header.Get("Content-Type"), "no content type is guessed")

	resp, _, err = g.do(t.Context(), http.MethodGet, "/nowhere/", "")
	require.NoError(t, err)
	require.Equal(t, 404, resp.StatusCode)
}

func TestARequestAboveTheSizeLimitsIsRefused(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	g.addUpstream(healthy)
	resp, _, err := g.do(t.Context(), http.MethodPost, "/x/", strings.Repeat("x", 1001))
	require.NoError(t, err)
	require.Equal(t, 413, resp.StatusCode)
	require.Equal(t, "body-too-large", resp.Header.Get("Reason"))
	require.Equal(t, "not-run", resp.Header.Get("Verdict"))
	resp, _, err = g.do(t.Context(), http.MethodGet, "/x/"+strings.Repeat("y", 2000), "")
	require.NoError(t, err)
	require.Equal(t, 431, resp.StatusCode)
	require.Equal(t, "header-too-large", resp.Header.Get("Reason"))
	require.Equal(t, "not-run", resp.Header.Get("Verdict"))
}

func TestRequestsWithoutAKeyAreSpread(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	counts := []*atomic.Int64{g.addUpstream(healthy), g.addUpstream(healthy), g.addUpstream(healthy), g.addUpstream(healthy)}
	for i := range 100 {
		_, _, err := g.send(t.Context(), http.MethodGet, "/x/", "", map[string]string{headerID: strconv.Itoa(i)})
		require.NoError(t, err)
	}
	for _, c := range counts {
		require.Greater(t, c.Load(), int64(10))
	}
}

func TestAFailureIsLoggedUnderItsRequestsID(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Once))
	g.addUpstream(resetting)
	resp, _ := g.get()
	require.Equal(t, 502, resp.StatusCode)
	require.Eventually(t, func() bool { return strings.Count(g.log.String(), `"request":"id-1"`) == 2 }, time.Second, time.Millisecond)
	require.Contains(t, g.log.String(), `"upstream":"i-1"`)
}

// teapotCodec writes its own status for every error, as a platform may.
type teapotCodec struct{ codec }

func (teapotCodec) WriteError(w http.ResponseWriter, _ proxy.RequestInfo, _ *verdict.Error) int {
	w.WriteHeader(http.StatusTeapot)
	return http.StatusTeapot
}

func TestTheLogHasTheStatusThatTheClientGot(t *testing.T) {
	g := newTestGateway(t)
	g.proxy.Codec = teapotCodec{}
	resp, err := http.Get(g.server.URL)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusTeapot, resp.StatusCode)
	require.Eventually(t, func() bool { return strings.Contains(g.log.String(), `"event":"final"`) }, time.Second, time.Millisecond)
	require.Contains(t, g.log.String(), `"status":418`)
}
