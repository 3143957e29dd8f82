package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
)

// Covers each way in which an upstream can fail, with one failing and one healthy upstream.
// A repeatable request is served by the healthy upstream. Any other request runs at most
// once, and its error says whether it may have run.
func TestOnlyWhatDidNotRunOrMayRunAgainIsSentAgain(t *testing.T) {
	for _, c := range []struct {
		name    string
		fail    func(c net.Conn, r *http.Request)
		mayRun  bool
		verdict string
	}{
		{"refuses", shedding, false, ""},
		{"resets", resetting, true, "may-have-run"},
		{"other instance", func(c net.Conn, r *http.Request) { reply(c, r, 421, "", "") }, false, ""},
		{"refuses without proof", func(c net.Conn, r *http.Request) { reply(c, r, 503, "Genuine: 1\r\n", "") }, true, "may-have-run"},
		{"success without proof", func(c net.Conn, r *http.Request) { reply(c, r, 200, "", "fake") }, true, "may-have-run"},
		{"half a body", truncating, true, "may-have-run"},
		{"length of 1 TB", func(c net.Conn, r *http.Request) {
			begin(c, r, "Content-Length: 1099511627776", 0)
			writeEndlessly(c, "x")
		}, true, "may-have-run"},
		{"body longer than its length", func(c net.Conn, r *http.Request) { begin(c, r, "Content-Length: 5", 9) }, true, "may-have-run"},
		{"head without end", endlessHead, true, "may-have-run"},
		{"not HTTP", func(c net.Conn, _ *http.Request) { writeEndlessly(c, "\x16\x03") }, true, "may-have-run"},
	} {
		for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
			t.Run(fmt.Sprint(c.name, repeat), func(t *testing.T) {
				g := newTestGateway(t)
				g.setRoutes(testRoute(repeat))
				failing := g.addUpstream(c.fail)
				good := g.addUpstream(healthy)
				// Repeat until a key prefers the failing upstream.
				for key := 0; failing.Load() == 0 && key < 50; key++ {
					text := strconv.Itoa(key)
					before := good.Load()
					resp, body, err := g.send(t.Context(), http.MethodPost, "/x/", "", map[string]string{headerID: text, headerKey: text})
					require.NoError(t, err)
					if failing.Load() == 0 {
						continue
					}
					if repeat == route.Once && c.mayRun {
						require.Equal(t, 502, resp.StatusCode)
						require.Equal(t, c.verdict, resp.Header.Get("Verdict"))
						require.Equal(t, before, good.Load(), "a request that may have run is not sent again")
						continue
					}
					require.Equal(t, 200, resp.StatusCode)
					require.Equal(t, "whole", body)
				}
				require.EqualValues(t, 1, failing.Load())
			})
		}
	}
}

func TestARequestThatAllUpstreamsShedDidNotRun(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Once))
	a, b := g.addUpstream(shedding), g.addUpstream(shedding)
	resp, _ := g.get()
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get("Verdict"))
	require.NotEqual(t, "0s", resp.Header.Get("Retry"), "the response says when to retry")
	require.EqualValues(t, 2, a.Load()+b.Load(), "the route's attempts limit the upstreams tried")
}

// Clients that are refused for load must not all retry at the same time.
func TestRetryTimesOfClientsRefusedForLoadDiffer(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Once))
	g.addUpstream(shedding)
	times := map[string]bool{}
	for range 8 {
		resp, _ := g.get()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		retryAfter, err := time.ParseDuration(resp.Header.Get("Retry"))
		require.NoError(t, err)
		require.GreaterOrEqual(t, retryAfter, 350*time.Millisecond)
		require.Less(t, retryAfter, 750*time.Millisecond)
		times[retryAfter.String()] = true
	}
	require.Greater(t, len(times), 4)
}

func TestALongResponseThatBreaksOffBreaksTheClientsConnection(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	g.addUpstream(func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nGenuine: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get(headerID))
		for range 10 {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", 8000, strings.Repeat("x", 8000))
		}
	})
	_, _, err := g.do(t.Context(), http.MethodGet, "/x/", "")
	require.Error(t, err)
}

// When the retry budget denied a second attempt, no log line of the failed request
// said so.
func TestTheFinalLineReportsARetryThatTheBudgetDenied(t *testing.T) {
	g := newGateway(t, noop.NewTracerProvider(), retry.Limits{Ratio: 1, Window: time.Minute})
	g.setRoutes(testRoute(route.Repeatable))
	g.addUpstream(resetting)
	g.addUpstream(resetting)
	require.Equal(t, http.StatusBadGateway, g.getKey(1))
	g.requireLogged(`"retry_denied":"0 of 0 retries used that the requests of the last 12s allow, and 0 of 0.00 that the slack allows"`)
	g.requireMetric(`cairndock_retries_denied_total{service="s"} 1`)
}

// Without these counts, the requests and retries of a host could not be compared with what
// upstreams received.
func TestMetricsCountRequestsAndTheirRetries(t *testing.T) {
	g := newGateway(t, noop.NewTracerProvider(), retry.Limits{Window: time.Minute, Slack: 2})
	g.setRoutes(testRoute(route.Repeatable))
	g.addUpstream(resetting)
	require.Equal(t, http.StatusBadGateway, g.getKey(1), "there is no other upstream")
	g.addUpstream(resetting)
	require.Equal(t, http.StatusBadGateway, g.getKey(1))
	g.requireMetric(`cairndock_requests_total{service="s"} 2`)
	g.requireMetric(`cairndock_retries_granted_total{service="s"} 2`)
	g.requireMetric(`cairndock_retries_returned_total{service="s"} 1`)
}

// Guards against choices without a report that count as choices with a fresh one.
func TestAgesOfReportsThatChoicesUseAreObserved(t *testing.T) {
	g := newGateway(t, noop.NewTracerProvider(), retry.Limits{})
	g.setRoutes(testRoute(route.Once))
	g.addUpstream(healthy)
	const name = "cairndock_choice_report_age_seconds_count "
	require.Equal(t, http.StatusOK, g.getKey(1))
	var metrics strings.Builder
	g.proxy.Metrics.Write(&metrics)
	require.NotContains(t, metrics.String(), name)
	g.proxy.Balancer.ObserveLoad(g.state.Upstreams().Serving()[0], 0, 0, time.Now())
	require.Equal(t, http.StatusOK, g.getKey(1))
	g.requireMetric(name + "1")
}

// requireMetric requires a line of the metrics.
func (g *testGateway) requireMetric(line string) {
	g.t.Helper()
	var metrics strings.Builder
	g.proxy.Metrics.Write(&metrics)
	require.Contains(g.t, metrics.String(), line)
}
