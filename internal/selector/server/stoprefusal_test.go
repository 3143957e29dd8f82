package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/verdict"
)

// requireStopping reads a refusal that makes the client retry at another host at
// once.
func (c *client) requireStopping() {
	c.t.Helper()
	resp, body := c.response()
	require.Equal(c.t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.Contains(c.t, body, `"title":"`+string(verdict.Stopping)+`"`)
	require.Equal(c.t, verdict.NotRun.String(), resp.Header.Get(verdict.Header))
	require.Equal(c.t, "0", resp.Header.Get("Retry-After"))
	require.True(c.t, resp.Close, "the connection must close")
}

// holdSlot starts a server whose only slot is in use until the test ends.
func holdSlot(t *testing.T, grace, window time.Duration) *testServer {
	t.Helper()
	started, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, stopAfter(grace, window), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			close(started)
			<-release
		}
		respondWhole(w, r)
	})
	t.Cleanup(func() { close(release) })
	s.connect(s.CallerAddr).write(lookup)
	<-started
	return s
}

const otherLookup = "GET /s/s/other HTTP/1.1\r\nHost: h\r\n\r\n"

// A host that has released its slots has no free slot. If a stopping host
// responds that upstreams are full and to retry after one second, clients wait
// although another host would serve them at once.
func TestAStoppingHostWithoutSlotsRefusesNewRequests(t *testing.T) {
	s := holdSlot(t, 2*time.Second, 3*time.Second)
	late := s.connect(s.CallerAddr)
	report := s.stop()
	require.Eventually(t, func() bool { return s.Host.Status().Services[0].Held == 0 }, time.Second, time.Millisecond)
	start := time.Now()
	late.write(otherLookup)
	late.requireStopping()
	require.Less(t, time.Since(start), time.Second)
	require.EqualValues(t, 2, (<-report).Cut)
}

// Requests that wait for a slot must not continue to wait after the host released
// its slots, because they can't get one.
func TestAStoppingHostRefusesRequestsThatWaitForASlot(t *testing.T) {
	s := holdSlot(t, 2*time.Second, 3*time.Second)
	queued := s.connect(s.CallerAddr)
	queued.write(otherLookup)
	require.Eventually(t, func() bool { return s.Host.Status().InFlight == 2 }, time.Second, time.Millisecond)
	start := time.Now()
	s.stop()
	queued.requireStopping()
	require.Less(t, time.Since(start), time.Second)
}
