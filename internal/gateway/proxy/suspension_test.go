package proxy_test

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// A second attempt got too much time after the machine had been suspended, because Go's
// monotonic clock does not advance while the machine is suspended:
//
//  1. A client sends a request with a deadline.
//  2. The first upstream closes the connection without a response.
//  3. The machine is suspended for most of the time until the deadline.
//  4. The host sends the request to a second upstream with nearly the full timeout.
//
// The test checks the timeout that the second upstream receives.
func TestARequestIsGivenNoTimeThatItsClientDoesNotWait(t *testing.T) {
	for _, c := range []struct {
		suspended time.Duration
		attempts  int64
	}{{0, 2}, {3 * time.Second, 2}, {30 * time.Second, 1}} {
		t.Run(c.suspended.String(), func(t *testing.T) {
			g := newTestGateway(t)
			r := testRoute(route.Repeatable)
			r.Timeout = 10 * time.Second
			g.setRoutes(r)
			var attempts atomic.Int64
			var receivedMS atomic.Int64
			respond := func(conn net.Conn, r *http.Request) {
				if attempts.Add(1) == 1 {
					g.suspension.Suspend(c.suspended)
					return
				}
				ms, _ := strconv.ParseInt(r.Header.Get(headerWait), 10, 64) // zero if it does not parse, and the test fails
				receivedMS.Store(ms)
				healthy(conn, r)
			}
			g.addUpstream(respond)
			g.addUpstream(respond)
			resp, _ := g.get()
			require.Equal(t, c.attempts, attempts.Load())
			if c.attempts == 1 {
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "the client's deadline has passed")
				return
			}
			require.Equal(t, http.StatusOK, resp.StatusCode)
			left := 10*time.Second - c.suspended
			require.InDelta(t, left.Milliseconds(), receivedMS.Load(), 500)
		})
	}
}
