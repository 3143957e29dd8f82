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

// A machine was suspended while a request was under way, and the next upstream was
// given as much time as if its client had not waited meanwhile.
//
// The order of events: a client sent a request with a deadline; the first upstream
// broke off; the machine was suspended for most of the deadline; the host tried a
// second upstream with nearly the whole deadline left.
//
// The cause: Go measures by a clock that stands still while the machine is suspended.
// The evidence: the time that the second upstream is given, below.
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
			var given atomic.Int64
			respond := func(conn net.Conn, r *http.Request) {
				if attempts.Add(1) == 1 {
					g.suspension.Suspend(c.suspended)
					return
				}
				ms, _ := strconv.ParseInt(r.Header.Get(headerWait), 10, 64) // zero is too little
				given.Store(ms)
				healthy(conn, r)
			}
			g.addUpstream(respond)
			g.addUpstream(respond)
			resp, _ := g.get()
			require.Equal(t, c.attempts, attempts.Load())
			if c.attempts == 1 {
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "its client has left")
				return
			}
			require.Equal(t, http.StatusOK, resp.StatusCode)
			left := 10*time.Second - c.suspended
			require.InDelta(t, left.Milliseconds(), given.Load(), 500)
		})
	}
}
