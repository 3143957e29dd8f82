package proxy_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
	"cairndock/internal/verdict"
)

// limiting responds with a limit of one request per ten seconds.
func limiting(c net.Conn, r *http.Request) {
	reply(c, r, 200, "Genuine: 1\r\n"+headerLimit+": 0.1\r\n", "whole")
}

// When the preferred upstreams of a key are at their limits, its requests must go to an
// upstream that has free capacity.
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
	require.LessOrEqual(t, limited.Load(), int64(1), "until it has reported its limit")
	require.GreaterOrEqual(t, other.Load(), int64(37))
	require.True(t, g.log.has(`"kind":"limit"`))
}

// A request that no upstream can take now is refused immediately. The response says when to
// retry.
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
		require.Greater(t, after, time.Second, "the next token is available in some seconds")
		retries[after.String()] = true
	}
	require.Less(t, time.Since(began), 100*time.Millisecond)
	require.Greater(t, len(retries), 1, "clients retry at different times")
}

// An upstream may announce in any response that it is leaving, while its row still says that
// it is ready.
func TestAnUpstreamThatSaysItLeavesGetsNoNewRequest(t *testing.T) {
	for name, respond := range map[string]func(net.Conn, *http.Request){
		"a success": func(c net.Conn, r *http.Request) { reply(c, r, 200, "Genuine: 1\r\n"+headerLeaving+": 1\r\n", "whole") },
		"a client error": func(c net.Conn, r *http.Request) {
			reply(c, r, 404, "Genuine: 1\r\n"+headerLeaving+": 1\r\n", "none")
		},
		"a failure": func(c net.Conn, r *http.Request) { reply(c, r, 500, "Genuine: 1\r\n"+headerLeaving+": 1\r\n", "") },
		"a refusal": func(c net.Conn, r *http.Request) { reply(c, r, 503, "Not-Run: 1\r\n"+headerLeaving+": 1\r\n", "") },
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.setRoutes(testRoute(route.Repeatable))
			leaving := g.addUpstream(respond)
			g.get()
			require.EqualValues(t, 1, leaving.Load())
			resp, _ := g.get()
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "there is no other upstream")
			other := g.addUpstream(healthy)
			for n := range 20 {
				require.Equal(t, http.StatusOK, g.getKey(n))
			}
			require.EqualValues(t, 1, leaving.Load())
			require.EqualValues(t, 20, other.Load())
			require.True(t, g.log.has(`"kind":"leaving"`))
		})
	}
}

// A request that waits for a connection is not sent if its upstream starts to leave. Another
// upstream is chosen, although the route allows one attempt and the budget no retry.
func TestARequestThatWaitedIsNotSentToAnUpstreamThatLeaves(t *testing.T) {
	g := newGateway(t, noop.NewTracerProvider(), retry.Limits{Window: time.Second})
	r := testRoute(route.Once)
	r.Attempts = 1
	g.setRoutes(r)
	leaving := g.addUpstream(healthy)
	u := g.state.Upstreams().Service("s")[0]
	g.dialDelay.Store(int64(100 * time.Millisecond))
	var other *atomic.Int64
	time.AfterFunc(50*time.Millisecond, func() {
		g.dialDelay.Store(0)
		other = g.addUpstream(healthy)
		g.proxy.Notices.Observe(u.Run(), notice.Notice{}.WithLeaving(), time.Now(), time.Now())
	})
	resp, _ := g.get()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Zero(t, leaving.Load())
	require.EqualValues(t, 1, other.Load())
}

// requestingBackoff refuses requests and requests a backoff of one second.
func requestingBackoff(c net.Conn, r *http.Request) {
	reply(c, r, 503, "Not-Run: 1\r\n"+headerBackoff+": 1s\r\n", "")
}

func TestAnUpstreamInBackoffGetsNoRequest(t *testing.T) {
	g := newTestGateway(t)
	r := testRoute(route.Once)
	r.Attempts = 3 // because two upstreams refuse the first request
	g.setRoutes(r)
	backedOff := g.addUpstream(requestingBackoff)
	g.addUpstream(requestingBackoff)
	other := g.addUpstream(healthy)
	for n := range 40 {
		require.Equal(t, http.StatusOK, g.getKey(n%8), "another upstream has free capacity")
	}
	require.LessOrEqual(t, backedOff.Load(), int64(1))
	require.EqualValues(t, 40, other.Load())
	require.True(t, g.log.has(`"kind":"rest"`))
	time.Sleep(1100 * time.Millisecond)
	for n := range 8 {
		require.Equal(t, http.StatusOK, g.getKey(n))
	}
	require.LessOrEqual(t, backedOff.Load(), int64(2), "it gets a request after its backoff")
}

// While all upstreams are in backoff, requests are refused immediately. The response
// requests a retry when the first backoff ends.
func TestARequestIsRefusedAtOnceWhileAllUpstreamsRest(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	backedOff := g.addUpstream(requestingBackoff)
	g.get()
	for range 3 {
		began := time.Now()
		resp, _ := g.get()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, string(verdict.Withheld), resp.Header.Get("Reason"))
		after, err := time.ParseDuration(resp.Header.Get("Retry"))
		require.NoError(t, err)
		require.Greater(t, after, 500*time.Millisecond)
		require.Less(t, time.Since(began), 100*time.Millisecond)
	}
	require.EqualValues(t, 1, backedOff.Load())
}
