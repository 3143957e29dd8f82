package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
)

// addTerminated adds an upstream at whose address nothing listens. The port stays bound, so
// that no other process of the machine can listen there.
func (g *testGateway) addTerminated() {
	g.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(g.t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	address, err := syscall.Getsockname(fd)
	require.NoError(g.t, err)
	g.register("s", fmt.Sprintf("127.0.0.1:%d", address.(*syscall.SockaddrInet4).Port), g.capacity)
}

// addUnresponsive adds an upstream that does not answer new connections until serve is
// called, because its accept queue is full.
func (g *testGateway) addUnresponsive() (serve func()) {
	g.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(g.t, err)
	require.NoError(g.t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(g.t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "unresponsive upstream")
	l, err := net.FileListener(file)
	require.NoError(g.t, err)
	require.NoError(g.t, file.Close())
	g.t.Cleanup(func() { _ = l.Close() })
	waiting, err := net.Dial("tcp", l.Addr().String())
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = waiting.Close() })
	g.register("s", l.Addr().String(), g.capacity)
	return func() { go serveUpstream(l, new(atomic.Int64), healthy) }
}

// loggedAttempts returns the number of attempts in the log. It first waits for the final line
// of the request, which is written after the attempts and may be written after the response.
func (g *testGateway) loggedAttempts() int {
	g.t.Helper()
	g.requireLogged(`"event":"final"`)
	return strings.Count(g.log.String(), `"event":"attempt"`)
}

// newGatewayWithoutRetries returns a gateway whose retry budget is empty.
func newGatewayWithoutRetries(t *testing.T, timeout time.Duration) *testGateway {
	t.Helper()
	g := newGateway(t, noop.NewTracerProvider(), retry.Limits{Window: time.Second})
	r := testRoute(route.Once)
	r.Timeout = timeout
	g.setRoutes(r)
	return g
}

// Requests were refused with 503 although an upstream had free capacity. Their only attempt
// chose a terminated upstream, and a new process has no retries in its budget. Nothing had been
// sent, so that no retry is needed.
func TestARefusedConnectionNeedsNoRetryOfTheBudget(t *testing.T) {
	for key := range 8 { // some keys prefer the terminated upstream
		g := newGatewayWithoutRetries(t, 500*time.Millisecond)
		g.addTerminated()
		g.addUpstream(healthy)
		require.Equal(t, http.StatusOK, g.getKey(key))
	}
}

// Requests were refused with 503 although an upstream had free capacity, because both attempts
// that their route allows chose upstreams that had terminated together.
func TestRefusedConnectionsLeaveTheRoutesAttempts(t *testing.T) {
	for key := range 8 {
		g := newGatewayWithoutRetries(t, 500*time.Millisecond)
		for range 4 {
			g.addTerminated()
		}
		requests := g.addUpstream(healthy)
		require.Equal(t, http.StatusOK, g.getKey(key))
		require.EqualValues(t, 1, requests.Load())
	}
}

// Requests were refused with 503 although an upstream had free capacity, because they tried the
// upstreams of a zone or region one after another, all of which had terminated.
func TestRefusedConnectionsOfAZoneAreFollowedByAnAttemptInAnother(t *testing.T) {
	for _, c := range []struct {
		name         string
		zones        []string
		zone, region string
	}{
		{"a terminated zone", []string{"z"}, "y", "r"},
		{"a terminated region", []string{"z", "y", "x"}, "w", "q"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for key := range 8 {
				g := newGatewayWithoutRetries(t, 500*time.Millisecond)
				for _, g.zone = range c.zones {
					for range 8 {
						g.addTerminated()
					}
				}
				g.zone, g.region = c.zone, c.region
				requests := g.addUpstream(healthy)
				require.Equal(t, http.StatusOK, g.getKey(key))
				require.EqualValues(t, 1, requests.Load())
			}
		})
	}
}

// If nothing listens at any upstream's address, the request is refused immediately.
func TestARequestIsRefusedAtOnceWhereAllUpstreamsHaveTerminated(t *testing.T) {
	g := newGatewayWithoutRetries(t, 20*time.Second)
	for range 3 {
		g.addTerminated()
	}
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, g.getKey(1))
	require.Less(t, time.Since(began), 5*time.Second, "waiting for upstreams would take half of the timeout")
	require.Equal(t, 3, g.loggedAttempts())
}

// Requests were refused with 503 although half of the upstreams had free capacity. A request must
// find one of these whatever the number of upstreams.
func TestARequestFindsARunningUpstreamWhenHalfHaveTerminated(t *testing.T) {
	const rounds, keys = 20, 5
	refused := map[int]int{}
	for _, upstreams := range []int{20, 40, 80, 160} {
		for round := range rounds {
			g := newGatewayWithoutRetries(t, 500*time.Millisecond)
			for range upstreams / 2 {
				g.addTerminated()
				g.addUpstream(healthy)
			}
			for key := range keys {
				if g.getKey(keys*round+key) != http.StatusOK {
					refused[upstreams]++
				}
			}
		}
	}
	require.Empty(t, refused, "requests refused by the number of upstreams")
}

// Among many terminated upstreams, a request makes a bounded number of attempts to find a
// running one, and is then refused at once.
func TestARequestIsRefusedAfterAFewRefusedConnections(t *testing.T) {
	g := newGatewayWithoutRetries(t, 20*time.Second)
	for range 30 {
		g.addTerminated()
	}
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, g.getKey(1))
	require.Less(t, time.Since(began), 2*time.Second)
	require.Equal(t, 18, g.loggedAttempts(), "two attempts of the route and sixteen refused connections")
}

// Requests were refused with 503 long before their deadline, because the first dial to the only
// upstream timed out on a host that was briefly short of CPU time.
func TestAnUnansweredDialIsRetriedWhileNoOtherUpstreamIsLeft(t *testing.T) {
	g := newGatewayWithoutRetries(t, 20*time.Second)
	serve := g.addUnresponsive()
	time.AfterFunc(time.Second, serve)
	require.Equal(t, http.StatusOK, g.getKey(1))
}

// A request got 504 at its deadline, although one upstream would have responded. The first dial
// to this upstream was not answered. Of the other upstreams, one refused and one never
// responded.
func TestAnOverdueRequestGoesToAnUpstreamThatDidNotAnswerAtFirst(t *testing.T) {
	for key := range 6 { // some keys prefer the upstream that does not answer
		g := newTestGateway(t)
		var o delayableUpstream
		g.addDelayable(&o, func(c net.Conn, r *http.Request) {
			if o.late.Load() {
				_, _ = c.Read(make([]byte, 1)) // it never responds
				return
			}
			healthy(c, r)
		})
		g.addUpstream(shedding)
		serve := g.addUnresponsive()
		time.AfterFunc(300*time.Millisecond, serve)
		began := time.Now()
		require.Equal(t, http.StatusOK, g.getKey(key))
		require.Less(t, time.Since(began), 10*time.Second)
	}
}

// An attempt that follows an unanswered dial uses one retry of the budget if another upstream
// has received the request, whichever of the two upstreams was tried first.
func TestARedialAfterASentAttemptUsesARetry(t *testing.T) {
	for key := range 8 { // some keys prefer the first upstream, others the second
		g := newGateway(t, noop.NewTracerProvider(), retry.Limits{Window: time.Minute, Slack: 2})
		r := testRoute(route.Repeatable)
		r.Timeout, r.Attempts = 20*time.Second, 3
		g.setRoutes(r)
		serve := g.addUnresponsive()
		failing := g.addUpstream(resetting)
		time.AfterFunc(300*time.Millisecond, serve)
		require.Equal(t, http.StatusOK, g.getKey(key))
		require.EqualValues(t, 1, failing.Load())
		require.Nil(t, g.proxy.Budget.TryRetry("s", 1, time.Now()), "its one retry is used")
	}
}

// A host that can't reach any upstream refuses requests early enough for clients to try another
// host before their deadline.
func TestARequestIsRefusedInTimeForAnotherHost(t *testing.T) {
	g := newGatewayWithoutRetries(t, 2*time.Second)
	g.addUnresponsive()
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, g.getKey(1))
	require.Less(t, time.Since(began), 1500*time.Millisecond)
}

// If a zone is unresponsive, a request dials at most as many upstreams as its route has
// attempts. Requests after further dials would be late, and would add to the load of the
// remaining upstreams.
func TestARequestDialsNoMoreUnresponsiveUpstreamsThanItsRouteAllows(t *testing.T) {
	g := newGatewayWithoutRetries(t, 20*time.Second)
	for range 3 {
		g.addUnresponsive()
	}
	require.Equal(t, http.StatusServiceUnavailable, g.getKey(1))
	require.Equal(t, 2, g.loggedAttempts())
}

// Requests were refused with 503 after one second although an upstream had free capacity,
// because both attempts that their route allows chose upstreams of an unresponsive zone.
func TestADialWithoutAnAnswerIsFollowedByAnAttemptInAnotherZone(t *testing.T) {
	for key := range 4 {
		g := newGatewayWithoutRetries(t, 20*time.Second)
		for range 4 {
			g.addUnresponsive()
		}
		g.zone = "y"
		requests := g.addUpstream(healthy)
		require.Equal(t, http.StatusOK, g.getKey(key))
		require.EqualValues(t, 1, requests.Load())
	}
}

// A request whose client leaves while it waits to redial an upstream is not sent.
func TestAClientThatLeavesEndsTheWaitForAnUpstream(t *testing.T) {
	g := newTestGateway(t)
	r := testRoute(route.Repeatable)
	r.Timeout = 20 * time.Second
	g.setRoutes(r)
	serve := g.addUnresponsive()
	ctx, leave := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer leave()
	_, _, err := g.do(ctx, http.MethodGet, "/x/", "")
	require.Error(t, err)
	serve()
	g.requireLogged(`"reason":"caller-left"`)
}
