package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
	"cairndock/internal/verdict"
)

// addTerminatingUpstream adds an upstream whose process terminates when it receives a request
// for which terminates returns true. These requests are counted in sent.
func (g *testGateway) addTerminatingUpstream(sent *atomic.Int64, terminates func(r *http.Request) bool) {
	var close func()
	count := g.addClosableUpstream(func(c net.Conn, r *http.Request) {
		if !terminates(r) {
			healthy(c, r)
			return
		}
		sent.Add(1)
		close()
	}, &close)
	_ = count // the tests use sent instead
}

// isPoison reports whether a request terminates its upstream.
func isPoison(r *http.Request) bool { return r.URL.Path == "/x/poison" }

// A request that terminates each upstream that receives it is quarantined. Other requests are
// still served.
func TestARequestThatTerminatesUpstreamsIsRefusedAfterThree(t *testing.T) {
	for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
		t.Run(fmt.Sprint(repeat), func(t *testing.T) {
			g := newTestGateway(t)
			g.setRoutes(testRoute(repeat))
			var sent atomic.Int64
			for range 8 {
				g.addTerminatingUpstream(&sent, isPoison)
			}
			for i := range 6 {
				_, _, err := g.do(t.Context(), http.MethodPost, "/x/poison", "body")
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond) // the termination is recorded concurrently with the response
				resp, _, err := g.do(t.Context(), http.MethodPost, fmt.Sprint("/x/", i), "body")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode, "other requests are served")
			}
			require.LessOrEqual(t, sent.Load(), int64(4))
			resp, _, err := g.do(t.Context(), http.MethodPost, "/x/poison", "body")
			require.NoError(t, err)
			require.Equal(t, "quarantined", resp.Header.Get("Reason"))
			require.Equal(t, "not-run", resp.Header.Get("Verdict"))
			require.Equal(t, time.Minute.String(), resp.Header.Get("Retry"))
			resp, _, err = g.do(t.Context(), http.MethodPost, "/x/poison", "another body")
			require.NoError(t, err)
			require.NotEqual(t, "quarantined", resp.Header.Get("Reason"), "it is another request")
		})
	}
}

// Failures of an attempt that are no termination of an upstream must never quarantine a
// request.
func TestOnlyTerminationsOfUpstreamsMakeARequestSuspect(t *testing.T) {
	for name, respond := range map[string]func(net.Conn, *http.Request){
		"reset": resetting, "close": func(net.Conn, *http.Request) {}, "broken off": truncating, "refused": shedding,
		"foreign bytes": func(c net.Conn, _ *http.Request) { _, _ = c.Write([]byte("\x16\x03 no response\r\n\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.setRoutes(testRoute(route.Repeatable))
			for range 3 {
				g.addUpstream(respond)
			}
			for range 5 {
				resp, _ := g.get()
				require.NotEqual(t, "quarantined", resp.Header.Get("Reason"))
			}
			time.Sleep(100 * time.Millisecond) // terminations are recorded concurrently with requests
			require.True(t, g.suspicions.Empty())
		})
	}
}

// The planned termination of a draining upstream is not attributed to the request that it was
// serving.
func TestATerminationWhileDrainingIsNotAttributedToARequest(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Once))
	var sent atomic.Int64
	g.addTerminatingUpstream(&sent, func(*http.Request) bool {
		g.drainUpstreams()
		return true
	})
	resp, _ := g.get()
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	time.Sleep(100 * time.Millisecond)
	require.True(t, g.suspicions.Empty())
}

// After a restart of all hosts, a quarantined request was sent to an upstream once more,
// because readiness did not wait for the list of quarantines:
//
//  1. A host starts, reads the configuration and the upstreams, and is ready.
//  2. The quarantined request arrives and is sent to an upstream.
//  3. Only then does the host read its region's list, which contains the quarantine.
//
// When the list was read 300 ms later, a restart of all nine hosts reproduced the fault in
// each run.
func TestAHostServesNothingBeforeItHasHeardOfQuarantines(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	sent := g.addUpstream(healthy)
	g.quarantinesUnknown.Store(true)
	require.False(t, g.proxy.Ready())
	resp, _ := g.get()
	require.Equal(t, string(verdict.NotReady), resp.Header.Get("Reason"))
	require.Zero(t, sent.Load())
	g.quarantinesUnknown.Store(false)
	require.True(t, g.proxy.Ready())
	g.get()
	require.EqualValues(t, 1, sent.Load())
}

// After a restart of all hosts whose list could not be read, each quarantined request
// terminated three more upstreams. A host that serves without the list refuses a request
// after the first one, until it has read the list.
func TestAHostWithoutTheQuarantinesRefusesSuspectedRequests(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	var sent atomic.Int64
	for range 4 {
		g.addTerminatingUpstream(&sent, isPoison)
	}
	g.refusesSuspected.Store(true)
	send := func() string {
		resp, _, err := g.do(t.Context(), http.MethodPost, "/x/poison", "body")
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond) // the termination is recorded concurrently with the response
		return resp.Header.Get("Reason")
	}
	send()
	before := sent.Load()
	require.Equal(t, string(verdict.Quarantined), send())
	require.Equal(t, before, sent.Load())
	resp, _, err := g.do(t.Context(), http.MethodPost, "/x/other", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	g.refusesSuspected.Store(false)
	require.NotEqual(t, string(verdict.Quarantined), send(), "it is not among the quarantined ones")
}
